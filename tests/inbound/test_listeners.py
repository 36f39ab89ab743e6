"""Each listener of the product uses guarded connections."""

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parents[2]
# These serve measurements and tests only.
LEFT_OUT = ("bench", "standin")
PLAIN = ("AppRunner", "Server", "run_app", "start_server", "create_server")


def product_files():
    for folder in ("src", "platform"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            if not set(path.parts) & set(LEFT_OUT):
                yield path


def plain_listeners(path):
    """Return the calls in a file that make a listener without limits."""
    calls = [
        e for e in ast.walk(ast.parse(path.read_text())) if isinstance(e, ast.Call)
    ]
    names = [e.func.attr for e in calls if isinstance(e.func, ast.Attribute)]
    return [each for each in names if each in PLAIN]


class TestListeners:
    @pytest.mark.parametrize("path", list(product_files()), ids=lambda each: each.name)
    def test_no_listener_is_without_limits(self, path):
        assert plain_listeners(path) == []
