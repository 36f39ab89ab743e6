"""Validation of VMs, backend servers, models and plain services."""

import datetime
import urllib.parse
from collections.abc import Iterator

from quetzalpass.declarations import entries, names, schema
from quetzalpass.documents import problems

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


def check_vms(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield deadlines that are missing, malformed or have no effect."""
    for entry in document.entries("vms"):
        vm = entry.value
        is_leaving = vm.state is schema.ServiceState.LEAVING
        if vm.deadline is None:
            if is_leaving:
                message = "without a deadline the VM waits for all of its work to end"
                yield entry.warning("deadline", message)
            continue
        if not is_deadline(vm.deadline):
            message = f"'{vm.deadline}' is not an ISO 8601 time with a time zone"
            advice = "write it like '2026-12-04T06:00:00+01:00'"
            yield entry.problem("deadline", message, advice)
        elif not is_leaving:
            message = f"the deadline has no effect in state {vm.state.value}"
            yield entry.warning("deadline", message)


def is_deadline(text: str) -> bool:
    """Return whether a text is an ISO 8601 time with a time zone."""
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        return False
    # The parser ignores what follows a null character, so check the text as well.
    return time.tzinfo is not None and text.isprintable()


def check_servers(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield servers with invalid models, services or URLs."""
    servers_by_url: dict[str, entries.Entry] = {}
    for entry in document.entries("servers"):
        server = entry.value
        if server.kind is schema.ServerKind.ENGINE:
            yield from check_engine(entry)
        else:
            yield from check_service_server(entry)
        if not is_server_url(server.url):
            message = f"'{server.url}' is not an HTTP URL"
            yield entry.problem("url", message, "write it like http://10.0.0.1:8000")
        if server.url in servers_by_url:
            other = servers_by_url[server.url].value.id
            yield entry.problem("url", f"'{other}' has the same URL")
        servers_by_url.setdefault(server.url, entry)


def is_server_url(text: str) -> bool:
    """Return whether a text is an HTTP URL without query, fragment or user name."""
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        return False
    # urlsplit() drops line ends and tabs, but the connection would receive them.
    is_clean = text.isprintable() and " " not in text
    return is_clean and not (parts.query or parts.fragment or parts.username)


def check_engine(entry: entries.Entry) -> Iterator[problems.Problem]:
    """Yield the problems of a model engine."""
    if not entry.value.models:
        yield entry.problem("models", "an engine needs at least one model")
    if entry.value.service is not None:
        message = "an engine can't belong to a service"
        yield entry.problem(
            "service", message, "set kind: service, or remove the field"
        )


def check_service_server(entry: entries.Entry) -> Iterator[problems.Problem]:
    """Yield the problems of a server of a plain service."""
    if entry.value.service is None:
        message = "a server of a plain service must name its service"
        yield entry.problem("service", message)
    if entry.value.models:
        message = "a server of a plain service can't serve models"
        yield entry.problem("models", message, "set kind: engine, or remove the field")


def check_models(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield invalid versions and adapters, and unreachable minimum replica counts."""
    states = {vm.value.id: vm.value.state for vm in document.entries("vms")}
    for entry in document.entries("models"):
        model = entry.value
        for key in ("version", "previous_version"):
            version = getattr(model, key)
            if version is not None and not names.NAME_PATTERN.match(version):
                yield entry.problem(
                    key, f"'{version}' is not a name", names.NAME_ADVICE
                )
        if model.previous_version == model.version:
            message = "must differ from version"
            yield entry.problem("previous_version", message, "remove the field")
        yield from check_adapters(entry)
        yield from check_minimum_ready(document, entry, states)


def check_adapters(entry: entries.Entry) -> Iterator[problems.Problem]:
    """Yield malformed and duplicate adapter names."""
    seen = set()
    for index, adapter in enumerate(entry.value.adapters):
        key = f"adapters[{index}].name"
        if not names.NAME_PATTERN.match(adapter.name):
            yield entry.problem(
                key, f"'{adapter.name}' is not a name", names.NAME_ADVICE
            )
        if adapter.name in seen:
            yield entry.problem(key, f"'{adapter.name}' is declared twice")
        seen.add(adapter.name)


def check_minimum_ready(
    document: entries.Document,
    entry: entries.Entry,
    states: dict[str, schema.ServiceState],
) -> Iterator[problems.Problem]:
    """Yield a problem if fewer servers than ``minimum_ready`` can serve a model."""
    model = entry.value
    in_state = schema.ServiceState.IN_SERVICE
    servers = [
        server.value
        for server in document.entries("servers")
        if model.name in server.value.models
    ]
    in_service = [
        server for server in servers if states.get(server.vm, in_state) is in_state
    ]
    if not servers:
        yield entry.warning("name", "no server serves the model")
    elif model.minimum_ready > len(servers):
        message = f"only {len(servers)} servers serve the model"
        yield entry.problem("minimum_ready", message)
    elif model.minimum_ready > len(in_service):
        message = f"only {len(in_service)} servers of the model are in service"
        yield entry.warning("minimum_ready", message)


def check_services(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield services without servers, and invalid paths and routes."""
    served = {server.value.service for server in document.entries("servers")}
    for entry in document.entries("services"):
        service = entry.value
        if service.name not in served:
            yield entry.warning("name", "no server belongs to the service")
        path = service.outcome_path
        if path is not None and not (is_path(path) and "{key}" in path):
            message = "must be a path that starts with '/' and contains '{key}'"
            yield entry.problem("outcome_path", message)
        for index, route in enumerate(service.non_idempotent_routes):
            yield from check_route(entry, f"non_idempotent_routes[{index}]", route)


def check_route(
    entry: entries.Entry, key: str, route: schema.Route
) -> Iterator[problems.Problem]:
    """Yield the problems of a non-idempotent route."""
    if route.method not in METHODS:
        advice = problems.suggest_name(route.method.upper(), METHODS)
        message = f"must be one of: {', '.join(METHODS)}"
        yield entry.problem(f"{key}.method", message, advice)
    if not is_path(route.path_prefix):
        message = "must be a path that starts with '/'"
        yield entry.problem(f"{key}.path_prefix", message)


def is_path(text: str) -> bool:
    """Return whether a text can be the path of an HTTP request."""
    return text.startswith("/") and text.isprintable() and " " not in text
