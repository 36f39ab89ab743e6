"""Validation of a whole declaration: names, references, keys and shares."""

import re
from collections.abc import Callable, Iterable, Iterator

from quetzalpass.declarations import (
    bounds,
    entries,
    fleet_checks,
    names,
    relay_checks,
    schema,
)
from quetzalpass.documents import problems

KEY_SHA256_PATTERN = re.compile(r"^[0-9a-f]{64}\Z")

Check = Callable[[entries.Document], Iterable[problems.Problem]]


def check_document(document: entries.Document) -> tuple[problems.Problem, ...]:
    """Return every problem of a declaration whose field types are correct.

    Parameters
    ----------
    document : Document
        The declaration, with the file and line of each entry if it was read from
        files.

    Returns
    -------
    tuple of Problem
        Errors and warnings, in the order of ``CHECKS``.
    """
    return tuple(found for check in CHECKS for found in check(document))


def check_declaration(declaration: schema.Declaration) -> tuple[problems.Problem, ...]:
    """Return every problem of a declaration that was not read from files.

    Replicas call it for each declaration that the operator API receives, since the
    client may not have validated it.
    """
    return check_document(entries.from_declaration(declaration))


def select_errors(
    found: Iterable[problems.Problem],
) -> tuple[problems.Problem, ...]:
    """Return the problems that make a declaration invalid, without warnings."""
    error = problems.Severity.ERROR
    return tuple(problem for problem in found if problem.severity is error)


def check_names(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield malformed and duplicate names."""
    for field, key in entries.NAME_FIELDS.items():
        pattern = names.MODEL_NAME_PATTERN if field == "models" else names.NAME_PATTERN
        seen: dict[str, entries.Entry] = {}
        for entry in document.entries(field):
            name = getattr(entry.value, key)
            if not pattern.match(name):
                yield entry.problem(key, f"'{name}' is not a name", names.NAME_ADVICE)
            if name in seen:
                yield entry.problem(key, duplicate_message(name, seen[name]))
            seen.setdefault(name, entry)


def check_regions(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield malformed region names."""
    for entry in document.entries("data_centres"):
        region = entry.value.region
        if not names.NAME_PATTERN.match(region):
            yield entry.problem(
                "region", f"'{region}' is not a name", names.NAME_ADVICE
            )


def duplicate_message(name: str, first: entries.Entry) -> str:
    """Return the message for a duplicate name."""
    if not first.node.line:
        return f"'{name}' is declared twice, first as {first.field}"
    return f"'{name}' is declared already in {first.node.file}:{first.node.line}"


def check_references(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield references to names that are not declared."""
    for vm in document.entries("vms"):
        yield from check_reference(document, vm, "data_centre", "data_centres")
    for server in document.entries("servers"):
        yield from check_reference(document, server, "vm", "vms")
        yield from check_reference(document, server, "service", "services")
        yield from check_server_models(document, server)
    for field in ("models", "services"):
        for entry in document.entries(field):
            yield from check_reference(document, entry, "default_class", "classes")


def check_reference(
    document: entries.Document, entry: entries.Entry, key: str, field: str
) -> Iterator[problems.Problem]:
    """Yield a problem if a field refers to a name that its list doesn't declare."""
    name = getattr(entry.value, key)
    if name is None or name in document.names(field):
        return
    message = f"'{name}' is not declared under {field}"
    yield entry.problem(key, message, document.suggest(name, field))


def check_server_models(
    document: entries.Document, server: entries.Entry
) -> Iterator[problems.Problem]:
    """Yield models of a server that are undeclared or listed twice."""
    seen = set()
    for index, name in enumerate(server.value.models):
        key = f"models[{index}]"
        if name not in document.names("models"):
            message = f"'{name}' is not declared under models"
            yield server.problem(key, message, document.suggest(name, "models"))
        if name in seen:
            yield server.problem(key, f"'{name}' is listed twice")
        seen.add(name)


def check_organisations(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield organisations without keys, and malformed or duplicate keys."""
    owners: dict[str, entries.Entry] = {}
    for entry in document.entries("organisations"):
        organisation = entry.value
        if not organisation.key_sha256:
            message = "the organisation has no key, so all of its calls are rejected"
            yield entry.warning("key_sha256", message)
        for index, digest in enumerate(organisation.key_sha256):
            key = f"key_sha256[{index}]"
            if not KEY_SHA256_PATTERN.match(digest):
                message = "must be a SHA-256 in 64 lower-case hexadecimal digits"
                yield entry.problem(key, message)
            elif digest in owners:
                other = owners[digest].value.id
                yield entry.problem(key, f"the key already belongs to '{other}'")
            owners.setdefault(digest, entry)


def check_classes(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield a problem if the reserved shares of memory add up to more than 1."""
    reserving = [
        entry for entry in document.entries("classes") if entry.value.reserved_share > 0
    ]
    total = sum(entry.value.reserved_share for entry in reserving)
    if total > 1.0:
        message = f"the shares of all classes add up to {total:g}, more than 1"
        yield reserving[-1].problem("reserved_share", message)


def check_objective(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield a problem if all weights of the objective are 0."""
    objective = document.value("objective", schema.Objective)
    if objective is None:
        return
    if objective.stall_weight == 0 and objective.gap_weight == 0:
        message = "at least one weight must be above 0"
        yield document.root.problem("objective", message)


CHECKS: tuple[Check, ...] = (
    check_names,
    check_regions,
    check_references,
    bounds.check,
    check_organisations,
    check_classes,
    fleet_checks.check_vms,
    fleet_checks.check_servers,
    fleet_checks.check_models,
    fleet_checks.check_services,
    relay_checks.check,
    check_objective,
)
