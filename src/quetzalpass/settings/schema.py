"""Schema of the daemon's settings file."""

import enum

import msgspec

from quetzalpass import ids


class Role(enum.Enum):
    """Role of a daemon: to serve callers, or to keep durable control state."""

    GATEWAY = "gateway"
    REPLICA = "replica"


class LogFormat(enum.Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of all settings: immutable, and unknown fields are errors."""


class Tls(Strict, frozen=True):
    """Certificate of a listener.

    Attributes
    ----------
    certificate_file : str
        Path of the PEM certificate chain.
    key_file : str
        Path of the private key.
    """

    certificate_file: str
    key_file: str


class Listener(Strict, frozen=True):
    """Address on which the daemon listens.

    Attributes
    ----------
    host : str
        Address to bind.
    port : int
        Port to bind; 0 lets the system choose.
    tls : Tls or None
        Certificate; TLS is served if it is given.
    key_file : str or None
        File with the shared key that a client of this listener must send. Callers
        have keys of their organisation instead.
    """

    host: str
    port: int
    tls: Tls | None = None
    key_file: str | None = None


class Peer(Strict, frozen=True):
    """Another daemon.

    Attributes
    ----------
    id : VmId
        Identifier of its VM.
    data_centre : DataCentreId
        Data centre in which it runs.
    url : str
        Base URL of its listener for peers.
    replica : bool
        Whether it is an initial member of the control group.
    """

    id: ids.VmId
    data_centre: ids.DataCentreId
    url: str
    replica: bool = False


class Limits(Strict, frozen=True):
    """Limits that protect the process.

    Attributes
    ----------
    body_bytes : int
        Largest accepted request body.
    header_bytes : int
        Largest accepted header field of a request.
    line_bytes : int
        Largest accepted request line.
    head_bytes : int
        Largest accepted request line and header fields together.
    event_bytes : int
        Largest accepted event of a stream from a backend server.
    streams : int
        Maximum number of requests in progress on this VM.
    body_timeout_s : float
        Longest time for receiving a request body.
    connect_timeout_s : float
        Longest time for connecting to a backend server.
    first_token_timeout_s : float
        Longest wait for the first token.
    silent_stream_s : float
        Silence on a stream from a backend server after which it is resumed on a new
        connection.
    slow_caller_bytes : int
        Bytes that are buffered for a caller that does not read.
    slow_caller_s : float
        How long the buffer of a caller may stay full before its connection is closed.
    header_timeout_s : float
        Longest time from a new connection to its first complete request header.
    connections : int
        Maximum number of connections of callers on this VM.
    caller_keep_alive_s : float
        Time without an event on a caller's stream after which a comment is sent.
    silent_caller_s : float
        How long a caller's host may fail to respond before its connection is closed.
    caller_grace_s : float
        How long a generation continues after its caller has disconnected, so that the
        caller can resume it at any gateway.
    """

    body_bytes: int = 2_000_000
    header_bytes: int = 16_384
    line_bytes: int = 8_190
    head_bytes: int = 65_536
    event_bytes: int = 65_536
    streams: int = 4_000
    body_timeout_s: float = 30.0
    connect_timeout_s: float = 2.0
    first_token_timeout_s: float = 120.0
    silent_stream_s: float = 10.0
    slow_caller_bytes: int = 262_144
    slow_caller_s: float = 30.0
    header_timeout_s: float = 20.0
    connections: int = 10_000
    caller_keep_alive_s: float = 15.0
    silent_caller_s: float = 30.0
    caller_grace_s: float = 10.0


class Statsd(Strict, frozen=True):
    """Statsd daemon to which metrics are sent.

    Attributes
    ----------
    host : str
        IP address of the statsd daemon.
    port : int
        UDP port of the statsd daemon.
    prefix : str
        First part of each metric name.
    """

    host: str
    port: int = 8125
    prefix: str = "quetzalpass"


class Settings(Strict, frozen=True):
    """Settings of one daemon.

    Attributes
    ----------
    id : VmId
        Identifier of this VM.
    data_centre : DataCentreId
        Data centre in which this VM runs.
    roles : tuple of Role
        Roles of this daemon.
    callers : Listener
        Listener for requests of callers.
    peers : Listener
        Listener for other daemons.
    operators : Listener
        Listener for the operators' tool.
    peer_vms : tuple of Peer
        The other daemons.
    data_folder : str or None
        Folder of durable state; required by the role ``replica``.
    cluster_key_file : str
        File with the key that daemons send to each other.
    statsd : Statsd or None
        Destination of metrics; none are sent if it is missing.
    limits : Limits
        Limits that protect the process.
    platform_list_url : str or None
        URL of the platform's list of live and leaving VMs.
    log_format : LogFormat
        Format of log lines.
    """

    id: ids.VmId
    data_centre: ids.DataCentreId
    roles: tuple[Role, ...]
    callers: Listener
    peers: Listener
    operators: Listener
    cluster_key_file: str
    peer_vms: tuple[Peer, ...] = ()
    data_folder: str | None = None
    statsd: Statsd | None = None
    limits: Limits = Limits()
    platform_list_url: str | None = None
    log_format: LogFormat = LogFormat.TEXT
