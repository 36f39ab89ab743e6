"""The error of a request whose service can't be reached from this gateway."""


class NoServerReachedError(Exception):
    """Raised if a request must be served by another gateway, or by none.

    Parameters
    ----------
    runs : int
        Sends of the request that a server may have run.
    """

    def __init__(self, runs: int = 0) -> None:
        super().__init__("no server of the service can be reached")
        self.runs = runs
