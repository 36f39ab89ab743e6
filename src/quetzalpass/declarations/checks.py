"""Checks of a declaration across its entries: names, references, states."""

import datetime
import re
import urllib.parse
from collections.abc import Callable, Iterable, Iterator

from quetzalpass.declarations import bounds, entries, schema
from quetzalpass.documents import problems

NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
MODEL_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}$")
KEY_SHA256 = re.compile(r"^[0-9a-f]{64}$")
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
NAME_ADVICE = "use letters, digits, '.', '_' and '-'"

Check = Callable[[entries.Document], Iterable[problems.Problem]]


def check_document(document: entries.Document) -> tuple[problems.Problem, ...]:
    """Return every problem between the entries of a declaration.

    Parameters
    ----------
    document : Document
        The declaration with its places.

    Returns
    -------
    tuple of Problem
        Errors and warnings, in the order of the checks.
    """
    return tuple(found for check in CHECKS for found in check(document))


def check_declaration(declaration: schema.Declaration) -> tuple[problems.Problem, ...]:
    """Return every problem of a declaration that came by no file.

    Replicas use it on what the operators' interface receives, since a declaration
    may have been built by another tool than ours.
    """
    return check_document(entries.TypedDocument(declaration))


def errors_among(
    found: Iterable[problems.Problem],
) -> tuple[problems.Problem, ...]:
    """Return the problems for which a declaration is refused."""
    error = problems.Severity.ERROR
    return tuple(problem for problem in found if problem.severity is error)


def check_names(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield malformed and repeated names."""
    for field, key in entries.NAME_FIELDS.items():
        pattern = MODEL_NAME if field == "models" else NAME
        seen: dict[str, entries.Entry] = {}
        for entry in document.entries(field):
            name = getattr(entry.value, key)
            if not pattern.match(name):
                yield entry.problem(key, f"'{name}' is not a name", NAME_ADVICE)
            if name in seen:
                yield entry.problem(key, repeated(name, seen[name]))
            seen.setdefault(name, entry)


def repeated(name: str, first: entries.Entry) -> str:
    """Return the message for a name that is declared twice."""
    if not first.node.line:
        return f"'{name}' is declared twice, first as {first.field}"
    return f"'{name}' is declared already in {first.node.file}:{first.node.line}"


def check_references(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield names that refer to nothing declared."""
    for vm in document.entries("vms"):
        yield from unknown(document, vm, "data_centre", "data_centres")
    for server in document.entries("servers"):
        yield from unknown(document, server, "vm", "vms")
        yield from unknown(document, server, "service", "services")
        yield from unknown_models(document, server)
    for field in ("models", "services"):
        for entry in document.entries(field):
            yield from unknown(document, entry, "default_class", "classes")


def unknown(
    document: entries.Document, entry: entries.Entry, key: str, field: str
) -> Iterator[problems.Problem]:
    """Yield the problem of a reference to a name that a list doesn't declare."""
    name = getattr(entry.value, key)
    if name is None or name in document.names(field):
        return
    message = f"'{name}' is not declared under {field}"
    yield entry.problem(key, message, document.near(name, field))


def unknown_models(
    document: entries.Document, server: entries.Entry
) -> Iterator[problems.Problem]:
    """Yield the models of a server that are unknown or named twice."""
    seen = set()
    for index, name in enumerate(server.value.models):
        key = f"models[{index}]"
        if name not in document.names("models"):
            message = f"'{name}' is not declared under models"
            yield server.problem(key, message, document.near(name, "models"))
        if name in seen:
            yield server.problem(key, f"'{name}' is named twice")
        seen.add(name)


def check_organisations(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield organisations without keys and keys that are malformed or shared."""
    holders: dict[str, entries.Entry] = {}
    for entry in document.entries("organisations"):
        organisation = entry.value
        if not organisation.key_sha256:
            message = "the organisation has no key, so none of its calls is accepted"
            yield entry.problem("key_sha256", message, "add the SHA-256 of a key")
        for index, digest in enumerate(organisation.key_sha256):
            key = f"key_sha256[{index}]"
            if not KEY_SHA256.match(digest):
                message = "must be a SHA-256 in 64 lower-case hexadecimal digits"
                yield entry.problem(key, message)
            elif digest in holders:
                other = holders[digest].value.id
                yield entry.problem(key, f"the key is given to '{other}' already")
            holders.setdefault(digest, entry)


def check_classes(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield shares of memory that sum up to more than the whole."""
    reserving = [
        entry for entry in document.entries("classes") if entry.value.reserved_share > 0
    ]
    total = sum(entry.value.reserved_share for entry in reserving)
    if total > 1.0:
        message = f"the shares of all classes sum up to {total:g}, more than 1"
        yield reserving[-1].problem("reserved_share", message)


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
    return time.tzinfo is not None


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
    return not (parts.query or parts.fragment or parts.username or " " in text)


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
        if not NAME.match(model.version):
            yield entry.problem("version", f"'{model.version}' is not a name")
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
        if not NAME.match(adapter.name):
            yield entry.problem(key, f"'{adapter.name}' is not a name", NAME_ADVICE)
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
        if path is not None and not (path.startswith("/") and "{key}" in path):
            message = "must start with '/' and contain '{key}'"
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
    if not route.path_prefix.startswith("/"):
        yield entry.problem(f"{key}.path_prefix", "must start with '/'")


def check_objective(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield weights that leave nothing to weigh."""
    objective = document.value("objective", schema.Objective)
    if objective is None:
        return
    if objective.stall_weight == 0 and objective.gap_weight == 0:
        message = "at least one weight must be above 0"
        yield document.whole.problem("objective", message)


CHECKS: tuple[Check, ...] = (
    check_names,
    check_references,
    bounds.check,
    check_organisations,
    check_classes,
    check_vms,
    check_servers,
    check_models,
    check_services,
    check_objective,
)
