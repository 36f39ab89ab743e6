"""Builders of declarations with routes."""

import hashlib

import msgspec

from quetzalpass.declarations import relays, schema

ENGINE = relays.EngineTraits(
    max_batch=24,
    memory_tokens=34_304,
    tokens_per_event=4,
    token_bytes=35_136,
    link_mbps=5_100.0,
    moves=True,
    backups=True,
)
KEY = "caller-key"
ROUTE = relays.HostRoute(
    name="reads",
    host="desk.example",
    path_prefix="/reads/",
    kind=relays.RouteKind.IDEMPOTENT,
    timeout_ms=800,
    shares=(relays.ServiceShare("ledger"),),
    objective_ms=150,
    attempts=2,
)


def route(**changes):
    return msgspec.structs.replace(ROUTE, **changes)


def draft_route(**changes):
    return msgspec.structs.replace(
        ROUTE,
        **{
            "name": "drafts",
            "path_prefix": "/drafts/",
            "kind": relays.RouteKind.STREAMING,
            "timeout_ms": 39_000,
            "objective_ms": 1_800,
            "gap_objective_ms": 180,
            "attempts": 1,
            "shares": (relays.ServiceShare("model"),),
            **changes,
        },
    )


def declaration(*routes):
    return schema.Declaration(
        services=(
            schema.Service("ledger", max_connections=110),
            schema.Service("model", max_connections=282, engine=ENGINE),
        ),
        organisations=(
            schema.Organisation("kade", (hashlib.sha256(KEY.encode()).hexdigest(),)),
        ),
        routes=routes or (ROUTE, draft_route()),
    )
