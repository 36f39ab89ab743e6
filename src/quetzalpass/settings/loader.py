"""Loading of a settings file."""

import pathlib
from typing import TypeVar

import msgspec
from returns import result

from quetzalpass.documents import reader, shape
from quetzalpass.results import codes, failures
from quetzalpass.settings import checks, schema

Kind = TypeVar("Kind", bound=msgspec.Struct)


def load_struct(
    path: str | pathlib.Path, kind: type[Kind]
) -> result.Result[Kind, failures.Failure]:
    """Return the struct that a YAML file holds.

    Parameters
    ----------
    path : str or pathlib.Path
        The file.
    kind : type
        Struct that it should hold.

    Returns
    -------
    Result of kind or Failure
        ``Code.BAD_SETTINGS`` with one line that names file, line, field and fault.
    """
    document = reader.read_file(pathlib.Path(path))
    if not isinstance(document, result.Success):
        return bad_settings(document.failure())
    value, found = shape.convert(document.unwrap(), kind)
    if value is None:
        return bad_settings(tuple(found))
    return result.Success(value)


def bad_settings(found) -> result.Result:
    """Return the failure that names the first of several problems."""
    message = found[0].text()
    if len(found) > 1:
        message += f" (and {len(found) - 1} more)"
    return result.Failure(failures.Failure(codes.Code.BAD_SETTINGS, message))


def load_settings(
    path: str | pathlib.Path,
) -> result.Result[schema.Settings, failures.Failure]:
    """Return the settings of a daemon.

    Parameters
    ----------
    path : str or pathlib.Path
        The settings file.

    Returns
    -------
    Result of Settings or Failure
        ``Code.BAD_SETTINGS`` with one line that names file, line, field and fault.
    """
    return load_struct(path, schema.Settings).bind(
        lambda settings: checks.check_settings(settings, str(path))
    )
