"""Loading of settings files."""

import pathlib
from typing import TypeVar

import msgspec
from returns import result

from quetzalpass.documents import reader, shape
from quetzalpass.results import codes, failures
from quetzalpass.settings import checks, schema

StructT = TypeVar("StructT", bound=msgspec.Struct)


def load_struct(
    path: str | pathlib.Path, struct_type: type[StructT]
) -> result.Result[StructT, failures.Failure]:
    """Return the struct that a YAML file describes.

    Parameters
    ----------
    path : str or pathlib.Path
        Path of the file.
    struct_type : type
        Type of the struct.

    Returns
    -------
    Result of struct_type or Failure
        ``Code.BAD_SETTINGS`` with one line that names file, line, field and problem.
    """
    document = reader.read_file(pathlib.Path(path))
    if not isinstance(document, result.Success):
        return settings_failure(document.failure())
    value, problems = shape.convert(document.unwrap(), struct_type)
    if value is None:
        return settings_failure(tuple(problems))
    return result.Success(value)


def settings_failure(problems) -> result.Result:
    """Return the failure that names the first problem and counts the others."""
    message = problems[0].text()
    if len(problems) > 1:
        message += f" (and {len(problems) - 1} more)"
    return result.Failure(failures.Failure(codes.Code.BAD_SETTINGS, message))


def load_settings(
    path: str | pathlib.Path,
) -> result.Result[schema.Settings, failures.Failure]:
    """Return the settings of a daemon.

    Parameters
    ----------
    path : str or pathlib.Path
        Path of the settings file.

    Returns
    -------
    Result of Settings or Failure
        ``Code.BAD_SETTINGS`` with one line that names file, line, field and problem.
    """
    return load_struct(path, schema.Settings).bind(
        lambda settings: checks.check_settings(settings, str(path))
    )
