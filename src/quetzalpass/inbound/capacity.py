"""How many connections a machine can hold open."""

import msgspec

# For files that are no sockets.
RESERVED_DESCRIPTORS = 200
# Share of the other descriptors, and of the memory, that connections of one listener
# may take. The rest is for connections to other processes, and for their content.
DESCRIPTOR_SHARE = 0.5
MEMORY_SHARE = 0.4
# One connection, with what has arrived on it and is not read yet.
CONNECTION_BYTES = 65_536
MIN_CONNECTIONS = 16


class MachineCapacity(msgspec.Struct, frozen=True):
    """What one machine has for a process.

    Attributes
    ----------
    memory_bytes : int
        Memory above which the process is ended.
    descriptors : int
        Files and sockets that it may have open.
    """

    memory_bytes: int = 150_000_000
    descriptors: int = 4_096

    def max_connections(self, share: float = 1.0) -> int:
        """Return how many connections a listener may have open.

        Parameters
        ----------
        share : float
            Share of this listener in what all listeners may take.
        """
        sockets = (self.descriptors - RESERVED_DESCRIPTORS) * DESCRIPTOR_SHARE
        by_memory = self.memory_bytes * MEMORY_SHARE / CONNECTION_BYTES
        return max(MIN_CONNECTIONS, int(min(sockets, by_memory) * share))
