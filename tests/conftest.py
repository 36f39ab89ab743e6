"""Shared pytest configuration: known failures are printed and passed over."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests():
    if not KNOWN_RED.exists():
        return {}
    found = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("test: "):
            found[line.removeprefix("test: ").strip()] = line
    return found


def pytest_collection_modifyitems(items):
    known = known_red_tests()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


def pytest_terminal_summary(terminalreporter):
    for test in known_red_tests():
        terminalreporter.write_line(f"known red, passed over: {test}")
