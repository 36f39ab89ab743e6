import hashlib
import json

import msgspec
import pytest

from fleet_adapter import desired_state
from platform_standin import standin
from quetzalpass.declarations import checks, relays


def declared(body):
    return desired_state.declaration_of(desired_state.decode(body))


def faults_of(body):
    return checks.select_errors(checks.check_declaration(declared(body)))


def changed_route(**changes):
    first, *rest = standin.STATE["routes"]
    return standin.state(routes=[{**first, **changes}, *rest])


class TestDesiredState:
    def test_a_valid_one_becomes_a_valid_declaration(self):
        declaration = declared(standin.state())
        assert checks.check_declaration(declaration) != ()
        assert faults_of(standin.state()) == ()
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
            changed_route(kind="odd"),
            changed_route(timeout_ms="800"),
        ],
    )
    def test_what_cannot_be_read_in_full_is_refused(self, body):
        with pytest.raises((msgspec.MsgspecError, UnicodeDecodeError, KeyError)):
            declared(body)

    @pytest.mark.parametrize(
        "body",
        [
            changed_route(service="nobody"),
            changed_route(prefix="/reads/"),
            changed_route(timeout_ms=0),
            changed_route(service=None, split=[]),
            changed_route(service=None, split=[{"service": "ledger", "weight": 0}]),
            standin.state(
                tenants=[
                    {"name": "a", "keys": ["same"]},
                    {"name": "b", "keys": ["same"]},
                ]
            ),
        ],
    )
    def test_what_is_invalid_is_found(self, body):
        assert faults_of(body)

    def test_a_tenant_may_lose_its_last_key(self):
        body = standin.state(tenants=[{"name": "a", "keys": []}])
        assert faults_of(body) == ()
