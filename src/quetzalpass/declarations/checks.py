"""Checks of a declaration across its entries: names, references, states."""

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

KEY_SHA256 = re.compile(r"^[0-9a-f]{64}\Z")

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
    return check_document(entries.document_of(declaration))


def errors_among(
    found: Iterable[problems.Problem],
) -> tuple[problems.Problem, ...]:
    """Return the problems for which a declaration is refused."""
    error = problems.Severity.ERROR
    return tuple(problem for problem in found if problem.severity is error)


def check_names(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield malformed and repeated names."""
    for field, key in entries.NAME_FIELDS.items():
        pattern = names.MODEL_NAME if field == "models" else names.NAME
        seen: dict[str, entries.Entry] = {}
        for entry in document.entries(field):
            name = getattr(entry.value, key)
            if not pattern.match(name):
                yield entry.problem(key, f"'{name}' is not a name", names.NAME_ADVICE)
            if name in seen:
                yield entry.problem(key, repeated(name, seen[name]))
            seen.setdefault(name, entry)


def check_regions(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield malformed names of regions."""
    for entry in document.entries("data_centres"):
        region = entry.value.region
        if not names.NAME.match(region):
            yield entry.problem(
                "region", f"'{region}' is not a name", names.NAME_ADVICE
            )


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
            yield entry.warning("key_sha256", message)
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
