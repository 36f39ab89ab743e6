"""Checks of VMs, backend servers, and the models and services that they serve."""

import datetime
import urllib.parse
from collections.abc import Iterator

from quetzalpass.declarations import entries, names, schema
from quetzalpass.documents import problems

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")


def check_vms(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield deadlines that are missing, malformed or without effect."""
    for entry in document.entries("vms"):
        vm = entry.value
        leaving = vm.state is schema.ServiceState.LEAVING
        if vm.deadline is None:
            if leaving:
                message = "without a deadline the VM empties only as its work ends"
                yield entry.warning("deadline", message)
            continue
        if not is_deadline(vm.deadline):
            message = f"'{vm.deadline}' is not an ISO 8601 time with a zone"
            advice = "write it like '2026-12-04T06:00:00+01:00'"
            yield entry.problem("deadline", message, advice)
        elif not leaving:
            message = f"the deadline has no effect in state {vm.state.value}"
            yield entry.warning("deadline", message)


def is_deadline(text: str) -> bool:
    """Return whether a text is an ISO 8601 time with a zone."""
    try:
        time = datetime.datetime.fromisoformat(text)
    except ValueError:
        return False
    # The parser stops at a null character, which the text would then still hold.
    return time.tzinfo is not None and text.isprintable()


def check_servers(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield servers whose kind, models, service or address don't fit."""
    addresses: dict[str, entries.Entry] = {}
    for entry in document.entries("servers"):
        server = entry.value
        if server.kind is schema.ServerKind.ENGINE:
            yield from engine_faults(entry)
        else:
            yield from plain_faults(entry)
        if not is_address(server.url):
            message = f"'{server.url}' is not an address"
            yield entry.problem("url", message, "write it like http://10.0.0.1:8000")
        if server.url in addresses:
            other = addresses[server.url].value.id
            yield entry.problem("url", f"'{other}' has the same address")
        addresses.setdefault(server.url, entry)


def is_address(text: str) -> bool:
    """Return whether a text is an HTTP address without a query."""
    try:
        parts = urllib.parse.urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    if parts.scheme not in ("http", "https") or not parts.hostname or port == 0:
        return False
    # Parsing drops line ends and tabs, which would then reach the connection.
    clean = text.isprintable() and " " not in text
    return clean and not (parts.query or parts.fragment or parts.username)


def engine_faults(entry: entries.Entry) -> Iterator[problems.Problem]:
    """Yield the faults of a model engine."""
    if not entry.value.models:
        yield entry.problem("models", "an engine needs at least one model")
    if entry.value.service is not None:
        message = "an engine belongs to no service"
        yield entry.problem("service", message, "set kind: service, or drop the field")


def plain_faults(entry: entries.Entry) -> Iterator[problems.Problem]:
    """Yield the faults of a server of a plain service."""
    if entry.value.service is None:
        message = "a server of a plain service must name it"
        yield entry.problem("service", message)
    if entry.value.models:
        message = "a plain service serves no models"
        yield entry.problem("models", message, "set kind: engine, or drop the field")


def check_models(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield faulty versions and adapters, and minima that can't be met."""
    states = {vm.value.id: vm.value.state for vm in document.entries("vms")}
    for entry in document.entries("models"):
        model = entry.value
        for key in ("version", "previous_version"):
            version = getattr(model, key)
            if version is not None and not names.NAME.match(version):
                yield entry.problem(
                    key, f"'{version}' is not a name", names.NAME_ADVICE
                )
        if model.previous_version == model.version:
            message = "is the same as version"
            yield entry.problem("previous_version", message, "drop the field")
        yield from adapter_faults(entry)
        yield from minimum_faults(document, entry, states)


def adapter_faults(entry: entries.Entry) -> Iterator[problems.Problem]:
    """Yield malformed and repeated names of adapters."""
    seen = set()
    for index, adapter in enumerate(entry.value.adapters):
        key = f"adapters[{index}].name"
        if not names.NAME.match(adapter.name):
            yield entry.problem(
                key, f"'{adapter.name}' is not a name", names.NAME_ADVICE
            )
        if adapter.name in seen:
            yield entry.problem(key, f"'{adapter.name}' is declared twice")
        seen.add(adapter.name)


def minimum_faults(
    document: entries.Document,
    entry: entries.Entry,
    states: dict[str, schema.ServiceState],
) -> Iterator[problems.Problem]:
    """Yield a minimum of ready replicas that the servers can't meet."""
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
    """Yield services without servers and faulty routes."""
    served = {server.value.service for server in document.entries("servers")}
    for entry in document.entries("services"):
        service = entry.value
        if service.name not in served:
            yield entry.warning("name", "no server serves the service")
        path = service.outcome_path
        if path is not None and not (is_path(path) and "{key}" in path):
            message = "must be a path that starts with '/' and contains '{key}'"
            yield entry.problem("outcome_path", message)
        for index, route in enumerate(service.non_idempotent_routes):
            yield from route_faults(entry, f"non_idempotent_routes[{index}]", route)


def route_faults(
    entry: entries.Entry, key: str, route: schema.Route
) -> Iterator[problems.Problem]:
    """Yield the faults of a non-idempotent route."""
    if route.method not in METHODS:
        advice = problems.near_name(route.method.upper(), METHODS)
        message = f"must be one of: {', '.join(METHODS)}"
        yield entry.problem(f"{key}.method", message, advice)
    if not is_path(route.path_prefix):
        message = "must be a path that starts with '/'"
        yield entry.problem(f"{key}.path_prefix", message)


def is_path(text: str) -> bool:
    """Return whether a text is a path of an HTTP request."""
    return text.startswith("/") and text.isprintable() and " " not in text
