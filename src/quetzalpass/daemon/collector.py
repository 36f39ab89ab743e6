"""Settings of Python's cyclic garbage collector for a process with many streams.

A full collection stops all streams for as long as it takes to visit every object.
"""

import gc

YOUNG_OBJECTS = 2_000
YOUNG_COLLECTIONS = 5
MIDDLE_COLLECTIONS = 500


def tune() -> None:
    """Keep what the start made out of collections, and make full ones rare.

    Young collections stay short; a full one comes after some five million objects that
    outlived their makers, so that cycles that lived long are still freed.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS, YOUNG_COLLECTIONS, MIDDLE_COLLECTIONS)
