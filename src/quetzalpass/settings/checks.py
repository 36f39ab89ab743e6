"""Validation of settings beyond the types of their fields."""

from collections.abc import Iterator

from returns import result

from quetzalpass.results import codes, failures
from quetzalpass.settings import schema

MAX_PORT = 65_535


def check_settings(
    settings: schema.Settings, file: str
) -> result.Result[schema.Settings, failures.Failure]:
    """Return the settings, or the first problem found in them.

    Parameters
    ----------
    settings : Settings
        Settings whose fields have the right types.
    file : str
        Name of the settings file, for the error message.

    Returns
    -------
    Result of Settings or Failure
        ``Code.BAD_SETTINGS`` with one line.
    """
    for message in find_problems(settings):
        failure = failures.Failure(codes.Code.BAD_SETTINGS, f"{file}: {message}")
        return result.Failure(failure)
    return result.Success(settings)


def find_problems(settings: schema.Settings) -> Iterator[str]:
    """Yield a message for each problem of the settings."""
    if not settings.roles:
        yield "roles: name at least one of: gateway, replica"
    if schema.Role.REPLICA in settings.roles and settings.data_folder is None:
        yield "data_folder: the role 'replica' needs a folder on a disk"
    yield from listener_problems("callers", settings.callers)
    yield from listener_problems("peers", settings.peers)
    yield from listener_problems("operators", settings.operators)
    if settings.operators.key_file is None:
        yield "operators.key_file: operators need a key; name the file that holds it"
    yield from peer_problems(settings)
    yield from limit_problems(settings.limits)


def listener_problems(name: str, listener: schema.Listener) -> Iterator[str]:
    """Yield the problems of a listener."""
    if not 0 <= listener.port <= MAX_PORT:
        yield f"{name}.port: must be between 0 and {MAX_PORT}"


def peer_problems(settings: schema.Settings) -> Iterator[str]:
    """Yield peers that are repeated, are this VM itself or have an invalid URL."""
    seen = {settings.id}
    for index, peer in enumerate(settings.peer_vms):
        if peer.id in seen:
            yield f"peer_vms[{index}].id: '{peer.id}' is given twice or is this VM"
        seen.add(peer.id)
        if not peer.url.startswith(("http://", "https://")):
            yield f"peer_vms[{index}].url: must start with http:// or https://"


def limit_problems(limits: schema.Limits) -> Iterator[str]:
    """Yield limits that aren't above zero."""
    for name in limits.__struct_fields__:
        if getattr(limits, name) <= 0:
            yield f"limits.{name}: must be above 0"
