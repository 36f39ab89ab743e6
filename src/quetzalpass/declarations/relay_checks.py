"""Checks of declared routes."""

from collections.abc import Iterator

from quetzalpass.declarations import entries, relays
from quetzalpass.documents import problems


def check(document: entries.Document) -> Iterator[problems.Problem]:
    """Yield the faults of single routes and places that are declared twice."""
    places: dict[tuple[str, str], entries.Entry] = {}
    for entry in document.entries("routes"):
        route = entry.value
        yield from path_faults(entry, route)
        yield from share_faults(document, entry, route)
        place = (route.host, route.path_prefix)
        if place in places:
            other = places[place].value.name
            message = f"'{other}' has the same host and path already"
            yield entry.problem("path_prefix", message)
        places.setdefault(place, entry)


def path_faults(
    entry: entries.Entry, route: relays.HostRoute
) -> Iterator[problems.Problem]:
    """Yield a malformed host or path."""
    if not route.host:
        yield entry.problem("host", "must not be empty")
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield entry.problem("path_prefix", "must begin and end with '/'")


def share_faults(
    document: entries.Document, entry: entries.Entry, route: relays.HostRoute
) -> Iterator[problems.Problem]:
    """Yield unknown services and weights that leave nothing to choose."""
    for index, share in enumerate(route.shares):
        key = f"shares[{index}]"
        if share.service not in document.names("services"):
            message = f"'{share.service}' is not declared under services"
            advice = document.near(share.service, "services")
            yield entry.problem(f"{key}.service", message, advice)
        if share.weight < 0:
            yield entry.problem(f"{key}.weight", "must be at least 0")
    if sum(share.weight for share in route.shares) <= 0:
        yield entry.problem("shares", "the weights must add up to more than 0")
