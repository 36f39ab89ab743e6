"""Numbered result codes with their HTTP status, execution statement and advice.

``docs/results.md`` is generated from this table; a test checks that it is up to date.
"""

import enum

import msgspec


class Execution(enum.Enum):
    """Whether a backend server executed the request."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class Code(enum.IntEnum):
    """Result code of a request or of an operator's command."""

    OK = 0
    REPLAYED = 1

    BAD_REQUEST = 100
    BAD_JSON = 101
    BODY_TOO_LARGE = 102
    BAD_HEADER = 103
    UNKNOWN_MODEL = 104
    UNKNOWN_SERVICE = 105
    UNKNOWN_KEY = 106
    NOT_ALLOWED = 107
    UNKNOWN_CLASS = 108
    KEY_REUSED = 109
    BODY_INCOMPLETE = 110
    UNKNOWN_GENERATION = 111
    KEY_REQUIRED = 112
    NOT_FOUND = 113

    RATE_LIMITED = 200
    TOO_MANY_STREAMS = 201
    QUEUE_FULL = 202
    NO_SERVER = 203
    DRAINING = 204
    NOT_READY = 205
    DEADLINE_BEFORE_START = 206
    LEDGER_UNAVAILABLE = 207
    QUARANTINED = 208
    CLAIM_IN_PROGRESS = 209
    REFUSED_BY_SERVER = 210
    NO_SERVER_REACHED = 211

    SERVER_LOST = 300
    STREAM_CROSSED = 301
    DEADLINE_EXCEEDED = 302
    OUTCOME_UNKNOWN = 303
    CALLER_TOO_SLOW = 304
    SERVER_FAILED = 305
    EVENT_TOO_LARGE = 306
    CALLER_GONE = 307

    CONFLICT = 400
    DECLARATION_INVALID = 401
    NOT_LEADER = 402
    NO_QUORUM = 403
    STORAGE_FAILED = 404
    STORAGE_DAMAGED = 405
    NOT_IN_FORCE = 406
    BAD_SETTINGS = 407
    UNREACHABLE = 408
    FENCED = 409
    OPERATION_EXPIRED = 410
    INTERNAL = 500


class CodeSpec(msgspec.Struct, frozen=True):
    """Meaning of a result code.

    Attributes
    ----------
    http_status : int
        Status of an HTTP response that carries the code.
    execution : Execution or None
        Whether the request ran; ``None`` if the code says nothing about it.
    retry : bool
        Whether sending the same request again is safe and may succeed.
    advice : str
        What the caller or operator should do next, in one sentence.
    """

    http_status: int
    execution: Execution | None
    retry: bool
    advice: str


_NOT_RUN = Execution.NOT_RUN
_MAY_HAVE_RUN = Execution.MAY_HAVE_RUN
_RAN = Execution.RAN

SPECS: dict[Code, CodeSpec] = {
    Code.OK: CodeSpec(200, _RAN, False, "Nothing to do."),
    Code.REPLAYED: CodeSpec(
        200, _RAN, False, "This is the recorded outcome of an earlier call."
    ),
    Code.BAD_REQUEST: CodeSpec(
        400, _NOT_RUN, False, "Correct the named field and send the request again."
    ),
    Code.BAD_JSON: CodeSpec(
        400, _NOT_RUN, False, "Send a body that is one JSON object."
    ),
    Code.BODY_TOO_LARGE: CodeSpec(
        413, _NOT_RUN, False, "Send a body below the limit that the message names."
    ),
    Code.BAD_HEADER: CodeSpec(
        400, _NOT_RUN, False, "Correct the header that is named."
    ),
    Code.UNKNOWN_MODEL: CodeSpec(
        404, _NOT_RUN, False, "Ask GET /v1/models for the models that are served."
    ),
    Code.UNKNOWN_SERVICE: CodeSpec(
        404, _NOT_RUN, False, "Use a service name that the operator has declared."
    ),
    Code.UNKNOWN_KEY: CodeSpec(
        401, _NOT_RUN, False, "Send the organisation's key as 'Authorization: Bearer'."
    ),
    Code.NOT_ALLOWED: CodeSpec(
        403, _NOT_RUN, False, "Ask the operator to allow this for your organisation."
    ),
    Code.UNKNOWN_CLASS: CodeSpec(
        400, _NOT_RUN, False, "Use a priority class that the operator has declared."
    ),
    Code.KEY_REUSED: CodeSpec(
        422, _NOT_RUN, False, "Use a new Idempotency-Key for a different body."
    ),
    Code.BODY_INCOMPLETE: CodeSpec(400, _NOT_RUN, True, "Send the whole body again."),
    Code.UNKNOWN_GENERATION: CodeSpec(
        404, _NOT_RUN, False, "Start a new generation; this one is no longer held."
    ),
    Code.KEY_REQUIRED: CodeSpec(
        400, _NOT_RUN, False, "Send an Idempotency-Key with a non-idempotent request."
    ),
    Code.NOT_FOUND: CodeSpec(
        404, _NOT_RUN, False, "Use a path that the documents name."
    ),
    Code.RATE_LIMITED: CodeSpec(
        429, _NOT_RUN, True, "Send the request again after retry_after_ms."
    ),
    Code.TOO_MANY_STREAMS: CodeSpec(
        429, _NOT_RUN, True, "Wait until one of your streams ends, then send it again."
    ),
    Code.QUEUE_FULL: CodeSpec(
        503, _NOT_RUN, True, "Send the request again after retry_after_ms."
    ),
    Code.NO_SERVER: CodeSpec(
        503, _NOT_RUN, True, "Send the request again after retry_after_ms."
    ),
    Code.DRAINING: CodeSpec(
        503, _NOT_RUN, True, "Send the request again; another VM will serve it."
    ),
    Code.NOT_READY: CodeSpec(
        503, _NOT_RUN, True, "Send the request again; this VM is still starting."
    ),
    Code.DEADLINE_BEFORE_START: CodeSpec(
        504, _NOT_RUN, True, "Send it again with a longer Quetzalpass-Timeout-Ms."
    ),
    Code.LEDGER_UNAVAILABLE: CodeSpec(
        503, _NOT_RUN, True, "Send it again with the same key after retry_after_ms."
    ),
    Code.QUARANTINED: CodeSpec(
        422,
        _NOT_RUN,
        False,
        "This request has crashed servers; change it before retrying.",
    ),
    Code.CLAIM_IN_PROGRESS: CodeSpec(
        409,
        _MAY_HAVE_RUN,
        True,
        "The first call is running; ask again with the same key.",
    ),
    Code.REFUSED_BY_SERVER: CodeSpec(
        503, _NOT_RUN, True, "Send the request again after retry_after_ms."
    ),
    Code.NO_SERVER_REACHED: CodeSpec(
        503, _NOT_RUN, True, "Send the request again; another VM may reach a server."
    ),
    Code.SERVER_LOST: CodeSpec(
        502, _RAN, True, "The stream ended early; start the generation anew."
    ),
    Code.STREAM_CROSSED: CodeSpec(
        502, _RAN, True, "The backend server mixed up streams; start anew."
    ),
    Code.DEADLINE_EXCEEDED: CodeSpec(
        504, _MAY_HAVE_RUN, True, "Send it again with a longer Quetzalpass-Timeout-Ms."
    ),
    Code.OUTCOME_UNKNOWN: CodeSpec(
        502,
        _MAY_HAVE_RUN,
        False,
        "Check at the service whether it ran; it will not run again.",
    ),
    Code.CALLER_TOO_SLOW: CodeSpec(
        408, _RAN, True, "Read faster, or resume from Last-Event-ID."
    ),
    Code.SERVER_FAILED: CodeSpec(
        502, _MAY_HAVE_RUN, True, "Send it again if it may run twice."
    ),
    Code.EVENT_TOO_LARGE: CodeSpec(
        502, _RAN, False, "Ask the operator to raise the limit on one event."
    ),
    Code.CALLER_GONE: CodeSpec(
        499, _MAY_HAVE_RUN, True, "The caller closed the connection."
    ),
    Code.CONFLICT: CodeSpec(
        409, None, False, "Get the newest revision, merge, and apply on that base."
    ),
    Code.DECLARATION_INVALID: CodeSpec(
        422, None, False, "Correct the fields that are listed; nothing was applied."
    ),
    Code.NOT_LEADER: CodeSpec(421, None, True, "Ask the leader that is named."),
    Code.NO_QUORUM: CodeSpec(
        503, None, True, "Wait until a majority of replicas can reach each other."
    ),
    Code.STORAGE_FAILED: CodeSpec(
        503, None, True, "Send it again; make room on the disks that are named."
    ),
    Code.STORAGE_DAMAGED: CodeSpec(
        500, None, False, "Restore the named file or start with an empty folder."
    ),
    Code.NOT_IN_FORCE: CodeSpec(
        504, None, True, "Look at the VMs that are listed; the revision is accepted."
    ),
    Code.BAD_SETTINGS: CodeSpec(500, None, False, "Correct the named field."),
    Code.UNREACHABLE: CodeSpec(
        503, None, True, "Check the address and that the daemon is running."
    ),
    Code.FENCED: CodeSpec(
        409, None, False, "A newer leader sends the orders; this one stops."
    ),
    Code.OPERATION_EXPIRED: CodeSpec(
        410, None, False, "Look at the present state, then apply with a new id."
    ),
    Code.INTERNAL: CodeSpec(
        500, _MAY_HAVE_RUN, False, "Report it with the Quetzalpass-Request-Id."
    ),
}


def spec_of(code: Code) -> CodeSpec:
    """Return the meaning of a code.

    Parameters
    ----------
    code : Code
        Any result code.

    Returns
    -------
    CodeSpec
        Its HTTP status, execution statement and advice.
    """
    return SPECS[code]
