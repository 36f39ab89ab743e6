"""Settings of Python's cyclic garbage collector for a process with many streams.

A full collection pauses all streams while it visits every object.
"""

import gc

GENERATION_0_THRESHOLD = 2_000
GENERATION_1_THRESHOLD = 5
GENERATION_2_THRESHOLD = 500


def tune() -> None:
    """Exclude existing objects from collections, and make full collections rare.

    Collections of the youngest generation stay short. A full collection runs after some
    five million objects were allocated and not freed, so that long-lived cycles are
    freed at last.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        GENERATION_0_THRESHOLD, GENERATION_1_THRESHOLD, GENERATION_2_THRESHOLD
    )
