"""Settings of the stand-in program."""

import enum

import msgspec

from quetzalpass import ids


class StandinKind(enum.Enum):
    """What the program pretends to be."""

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
        Models that an engine has loaded when it starts.
    version : str
        Version of these models.
    load_s : float
        Time that loading a model takes, in seconds; an adapter takes a tenth.
    memory_tokens, max_batch : int
        Size of the engine.
    token_s : float
        Time of one decoding step of an unloaded engine, in seconds.
    report_lag_s, event_lag_s : float
        Age of a load report, and delay of a cache event, in seconds.
    event_loss : float
        Share of cache events that are lost, from 0 to 1.
    checks_fencing : bool
        Refuses orders with an old fencing number.
    detached_s : float
        How long a generation runs on without a reader before it is dropped.
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
