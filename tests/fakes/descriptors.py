"""A process that has no file descriptors left for a time."""

import contextlib
import os
import resource


@contextlib.contextmanager
def used_up():
    """Use up all descriptors of this process within the context."""
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    highest = max(int(each) for each in os.listdir("/proc/self/fd"))
    used = []
    resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, limits[1]))
    try:
        with contextlib.suppress(OSError):
            while True:
                used.append(os.dup(0))
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        for each in used:
            os.close(each)
