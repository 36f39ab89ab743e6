"""Settings of the stand-in program."""

import enum

import msgspec

from quetzalpass import ids


class StandinKind(enum.Enum):
    """Kind of server that the program stands in for."""

    ENGINE = "engine"
    SERVICE = "service"


class StandinSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one stand-in backend server.

    Attributes
    ----------
    id : ServerId
        Identifier, for logs.
    kind : StandinKind
        Engine or plain service.
    host, port : str, int
        Listening address.
    models : tuple of str
        Models that are loaded when an engine starts.
    version : str
        Version of these models.
    load_s : float
        Time to load a model, in seconds; an adapter takes a tenth of it.
    memory_tokens, max_batch : int
        Memory of the engine in tokens, and maximum number of sequences in a batch.
    token_s : float
        Duration of a decoding step of an engine with one sequence, in seconds.
    report_lag_s, event_lag_s : float
        Delays until a load report and a cache event are published, in seconds.
    event_loss : float
        Share of cache events that are lost, from 0 to 1.
    checks_fencing : bool
        Whether orders with an outdated fencing number are rejected.
    detached_s : float
        Time that a generation without a reader is kept, in seconds.
    """

    id: ids.ServerId
    kind: StandinKind
    port: int
    host: str = "127.0.0.1"
    models: tuple[str, ...] = ()
    version: str = "1"
    load_s: float = 2.0
    memory_tokens: int = 100_000
    max_batch: int = 64
    token_s: float = 0.02
    report_lag_s: float = 0.5
    event_lag_s: float = 0.5
    event_loss: float = 0.02
    checks_fencing: bool = True
    detached_s: float = 15.0
