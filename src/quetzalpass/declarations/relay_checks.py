"""Validation of routes."""

from collections.abc import Iterator

from quetzalpass.declarations import entries, relays
from quetzalpass.documents import problems, shape


def check(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield the problems of each route, and duplicate pairs of host and prefix."""
    seen: dict[tuple[str, str], entries.Entry] = {}
    for entry in document.entries("routes"):
        route = entry.value
        yield from check_path(entry, route)
        yield from check_shares(document, entry, route)
        # Requests are routed without regard to the case of their host.
        host_and_prefix = (route.host.lower(), route.path_prefix)
        if host_and_prefix in seen:
            other = seen[host_and_prefix].value.name
            message = f"'{other}' already has the same host and path prefix"
            yield entry.problem("path_prefix", message)
        seen.setdefault(host_and_prefix, entry)


def check_path(
    entry: entries.Entry, route: relays.HostRoute
) -> Iterator[problems.Problem]:
    """Yield an empty host or a malformed path prefix."""
    if not route.host:
        yield entry.problem("host", "must not be empty")
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield entry.problem("path_prefix", "must begin and end with '/'")


def check_shares(
    document: entries.Document, entry: entries.Entry, route: relays.HostRoute
) -> Iterator[problems.Problem]:
    """Yield undeclared services, negative weights, and weights that are all 0."""
    for index, share in enumerate(route.shares):
        key = f"shares[{index}]"
        if share.service not in document.names("services"):
            message = f"'{share.service}' is not declared under services"
            advice = document.suggest(share.service, "services")
            yield entry.problem(f"{key}.service", message, advice)
        if share.weight < 0:
            yield entry.problem(f"{key}.weight", "must be at least 0")
        if share.weight > shape.MAX_INTEGER:
            message = f"must be a number up to {shape.MAX_INTEGER}"
            yield entry.problem(f"{key}.weight", message)
    if sum(share.weight for share in route.shares) <= 0:
        yield entry.problem("shares", "the weights must add up to more than 0")
