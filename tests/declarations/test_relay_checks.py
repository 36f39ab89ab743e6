import pytest

from declarations import relay_builders
from quetzalpass.declarations import checks, relays, schema


def error_texts(declaration):
    found = checks.select_errors(checks.check_declaration(declaration))
    return [problem.text() for problem in found]


class TestRouteChecks:
    def test_a_valid_declaration_has_no_errors(self):
        assert error_texts(relay_builders.declaration()) == []

    @pytest.mark.parametrize(
        ("changes", "expected"),
        [
            ({"host": ""}, "must not be empty"),
            ({"path_prefix": "/x"}, "must begin and end with"),
            ({"path_prefix": "x/"}, "must begin and end with"),
            ({"shares": ()}, "add up to more than 0"),
            ({"shares": (relays.ServiceShare("ledger", 0),)}, "more than 0"),
            ({"shares": (relays.ServiceShare("ledgr"),)}, "did you mean 'ledger'"),
            ({"shares": (relays.ServiceShare("ledger", -1),)}, "at least 0"),
            ({"timeout_ms": 0}, "timeout_ms: must be at least 1"),
            ({"attempts": 0}, "attempts: must be at least 1"),
        ],
    )
    def test_each_problem_is_reported(self, changes, expected):
        declaration = relay_builders.declaration(relay_builders.route(**changes))
        assert any(expected in text for text in error_texts(declaration))

    def test_two_routes_with_the_same_host_and_prefix_are_rejected(self):
        declaration = relay_builders.declaration(
            relay_builders.route(name="a"), relay_builders.route(name="b")
        )
        assert any(
            "same host and path prefix" in text for text in error_texts(declaration)
        )

    def test_two_routes_whose_hosts_differ_in_case_only_are_rejected(self):
        """The second one would silently replace the first (review/15)."""
        declaration = relay_builders.declaration(
            relay_builders.route(name="a", host="desk.example"),
            relay_builders.route(name="b", host="DESK.example"),
        )
        assert any(
            "same host and path prefix" in text for text in error_texts(declaration)
        )

    def test_a_key_of_two_organisations_is_rejected(self):
        digest = "b" * 64
        declaration = schema.Declaration(
            organisations=(
                schema.Organisation("one", (digest,)),
                schema.Organisation("two", (digest,)),
            )
        )
        assert any(
            "already belongs to 'one'" in text for text in error_texts(declaration)
        )
