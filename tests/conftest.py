"""Shared pytest configuration: a test timeout, and known failures from a file.

The tests that ``KNOWN-RED.txt`` lists may fail. They are printed after each run.
"""

import gc
import pathlib
import signal
import time

import pytest

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def known_red_tests():
    if not KNOWN_RED.exists():
        return {}
    tests = {}
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith("test: "):
            tests[line.removeprefix("test: ").strip()] = line
    return tests


def pytest_collection_modifyitems(items):
    known_red = known_red_tests()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False))


class CollectionTimes:
    """Measures the full collections of the test process, which also runs gateways.

    Attributes
    ----------
    longest_s : float
        Longest full collection after the freeze.
    """

    FULL = 2

    def __init__(self):
        self.started_s = 0.0
        self.longest_s = 0.0

    def __call__(self, phase, info):
        if info["generation"] != self.FULL:
            return
        if phase == "start":
            self.started_s = time.perf_counter()
        else:
            duration_s = time.perf_counter() - self.started_s
            self.longest_s = max(self.longest_s, duration_s)


COLLECTION_TIMES = CollectionTimes()


@pytest.hookimpl(trylast=True)
def pytest_collection_finish(session):
    """Keep what was collected out of all later full collections.

    Each would otherwise stop the test process, and the nodes in it, for longer than an
    offer between gateways may take.
    """
    gc.collect()
    gc.freeze()
    gc.callbacks.append(COLLECTION_TIMES)


@pytest.fixture(autouse=True, scope="module")
def freeze_after_module():
    """Keep what a module leaves behind out of later full collections as well."""
    yield
    gc.collect()
    gc.freeze()


def pytest_terminal_summary(terminalreporter):
    longest_ms = 1000 * COLLECTION_TIMES.longest_s
    terminalreporter.write_line(f"longest full collection: {longest_ms:.0f} ms")
    for test in known_red_tests():
        terminalreporter.write_line(f"known red, passed over: {test}")


TEST_TIMEOUT_S = 120


@pytest.fixture(autouse=True)
def fail_after_timeout(request):
    """Fail a test that hangs; a loop on the virtual clock can spin forever."""
    if request.node.get_closest_marker("long"):
        yield
        return

    def raise_timeout(signal_number, frame):
        raise TimeoutError(f"{request.node.nodeid} hangs")

    previous_handler = signal.signal(signal.SIGALRM, raise_timeout)
    signal.alarm(TEST_TIMEOUT_S)
    yield
    signal.alarm(0)
    signal.signal(signal.SIGALRM, previous_handler)
