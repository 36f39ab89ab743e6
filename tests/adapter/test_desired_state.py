import hashlib
import json

import pytest

from fleet_adapter import desired_state
from platform_standin import standin
from quetzalpass import decoding
from quetzalpass.declarations import checks, relays


def make_declaration(body):
    return desired_state.make_declaration(desired_state.decode(body))


def find_errors(body):
    return checks.select_errors(checks.check_declaration(make_declaration(body)))


def state_with_first_route(**changes):
    first, *rest = standin.STATE["routes"]
    return standin.state(routes=[{**first, **changes}, *rest])


class TestDesiredState:
    def test_valid_state_becomes_a_valid_declaration(self):
        declaration = make_declaration(standin.state())
        assert checks.check_declaration(declaration) != ()
        assert find_errors(standin.state()) == ()
        once, reads, drafts = declaration.routes
        assert once.kind is relays.RouteKind.NON_IDEMPOTENT
        assert reads.shares == (relays.ServiceShare("ledger", 90),)
        assert drafts.gap_objective_ms == 180
        (organisation,) = declaration.organisations
        assert organisation.priority == 1
        assert hashlib.sha256(b"key-1").hexdigest() in organisation.key_sha256
        assert declaration.services[1].engine.memory_tokens == 34304

    @pytest.mark.parametrize(
        "body",
        [
            standin.state()[:-20],
            b"",
            b"[]",
            b"\xff\xfe",
            standin.state(version="7"),
            standin.state(version=None),
            standin.state(routes=None),
            json.dumps({"version": 7}).encode(),
            state_with_first_route(kind="odd"),
            state_with_first_route(timeout_ms="800"),
        ],
    )
    def test_undecodable_state_is_rejected(self, body):
        with pytest.raises((decoding.DecodingError, KeyError)):
            make_declaration(body)

    @pytest.mark.parametrize(
        "body",
        [
            state_with_first_route(service="nobody"),
            state_with_first_route(prefix="/reads/"),
            state_with_first_route(timeout_ms=0),
            state_with_first_route(service=None, split=[]),
            state_with_first_route(
                service=None, split=[{"service": "ledger", "weight": 0}]
            ),
            standin.state(
                tenants=[
                    {"name": "a", "keys": ["same"]},
                    {"name": "b", "keys": ["same"]},
                ]
            ),
        ],
    )
    def test_errors_in_the_state_are_found(self, body):
        assert find_errors(body)

    def test_tenant_without_keys_is_valid(self):
        body = standin.state(tenants=[{"name": "a", "keys": []}])
        assert find_errors(body) == ()
