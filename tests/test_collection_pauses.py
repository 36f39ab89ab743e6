"""The test process, in which whole gateways run, has no long garbage collections.

A full collection of 0.30 s was longer than an offer may take (0.25 s), so that an offer
in the same process was given up.
"""

import gc


class TestCollections:
    def test_what_pytest_has_collected_is_not_scanned_again(self):
        assert gc.get_freeze_count() > len(gc.get_objects())
