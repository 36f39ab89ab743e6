"""Checks of settings that concern more than one field."""

from collections.abc import Iterator

from returns import result

from quetzalpass.results import codes, failures
from quetzalpass.settings import schema

MAX_PORT = 65_535


def check_settings(
    settings: schema.Settings, file: str
) -> result.Result[schema.Settings, failures.Failure]:
    """Return the settings, or the first fault between their fields.

    Parameters
    ----------
    settings : Settings
        Settings whose fields each have the right type.
    file : str
        Name of the file in the message.

    Returns
    -------
    Result of Settings or Failure
        ``Code.BAD_SETTINGS`` with one line.
    """
    for message in faults_of(settings):
        failure = failures.Failure(codes.Code.BAD_SETTINGS, f"{file}: {message}")
        return result.Failure(failure)
    return result.Success(settings)


def faults_of(settings: schema.Settings) -> Iterator[str]:
    """Yield each fault between the fields of settings."""
    if not settings.roles:
        yield "roles: name at least one of: gateway, replica"
    if schema.Role.REPLICA in settings.roles and settings.data_folder is None:
        yield "data_folder: the role 'replica' needs a folder on a disk"
    yield from listener_faults("callers", settings.callers)
    yield from listener_faults("peers", settings.peers)
    yield from listener_faults("operators", settings.operators)
    if settings.operators.key_file is None:
        yield "operators.key_file: operators need a key; name the file that holds it"
    yield from peer_faults(settings)
    yield from limit_faults(settings.limits)


def listener_faults(name: str, listener: schema.Listener) -> Iterator[str]:
    """Yield the faults of a listening address."""
    if not 0 <= listener.port <= MAX_PORT:
        yield f"{name}.port: must be between 0 and {MAX_PORT}"


def peer_faults(settings: schema.Settings) -> Iterator[str]:
    """Yield repeated peers and a peer that is this VM itself."""
    seen = {settings.id}
    for index, peer in enumerate(settings.peer_vms):
        if peer.id in seen:
            yield f"peer_vms[{index}].id: '{peer.id}' is given twice or is this VM"
        seen.add(peer.id)
        if not peer.url.startswith(("http://", "https://")):
            yield f"peer_vms[{index}].url: must start with http:// or https://"


def limit_faults(limits: schema.Limits) -> Iterator[str]:
    """Yield caps that are not above zero."""
    for name in limits.__struct_fields__:
        if getattr(limits, name) <= 0:
            yield f"limits.{name}: must be above 0"
