"""Desired states and requests of the review cases."""

import json

HOST = "desk.example"
KEY = "key-1"
ENGINE = {
    "slots": 24, "kv_capacity_tokens": 34304, "kv_token_bytes": 35136,
    "link_mbps": 5100.0, "migrations": True, "backups": True, "stride": 4,
    "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0,
    "models": [{"name": "m"}],
}


def route(name, prefix, kind, service, **changes):
    return {
        "name": name, "host": HOST, "prefix": prefix, "kind": kind,
        "timeout_ms": 800, "goal_ms": 150, "priority": 2, "service": service,
        "attempts": 1, "public": False, "sticky": False, "resumable": False,
        **changes,
    }


def desired_state(version, extra_routes=(), engine=None, calls_timeout_ms=800):
    """Return the body of a desired state with a call, a read and a stream route."""
    routes = [
        route("r-once", "/once/", "non_idempotent", "ledger",
              timeout_ms=calls_timeout_ms),
        route("r-reads", "/reads/", "idempotent", "ledger", attempts=2,
              timeout_ms=calls_timeout_ms),
        route("r-drafts", "/drafts/", "streaming", "model", timeout_ms=39000,
              goal_ms=1800, priority=0, sticky=True, gap_target_ms=180),
        *extra_routes,
    ]
    services = [
        {"name": "ledger", "health_path": "/health", "max_conns": 110,
         "protocol": "h1", "tls": False},
        {"name": "model", "health_path": "/health", "max_conns": 282,
         "protocol": "h1", "tls": False, "engine": {**ENGINE, **(engine or {})}},
    ]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304,
              "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    tenants = [{"name": "huka270", "keys": [KEY], "priority": 1}]
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": limits, "tenants": tenants}).encode()


def request(method, path, request_id, deadline_ms, body=b"", headers=()):
    """Return the bytes of a consumer's request."""
    lines = [
        f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}", *headers,
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
