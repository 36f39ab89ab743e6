"""Opens the client of the operators' interface for a command."""

import argparse
import contextlib
import pathlib
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
from returns import result

from quetzalpass.cli import client, exits, output
from quetzalpass.results import codes, failures


class Endpoints(msgspec.Struct, frozen=True):
    """Base addresses of operators' listeners, in the order to try."""

    urls: tuple[str, ...]


class Access(msgspec.Struct, frozen=True):
    """How a command reaches the operators' interface.

    Attributes
    ----------
    operators : Endpoints
        Addresses of operators' listeners.
    key_file : str
        File with the operators' key.
    ca_file : str or None
        PEM file of trusted certificate authorities.
    as_json : bool
        Whether output is JSON.
    """

    operators: Endpoints
    key_file: str
    ca_file: str | None = None
    as_json: bool = False


def parse_endpoints(text: str) -> Endpoints:
    """Parse a list of addresses, separated by commas.

    Raises
    ------
    argparse.ArgumentTypeError
        If the list is empty or an entry is no HTTP address.
    """
    urls = tuple(part.strip() for part in text.split(",") if part.strip())
    for url in urls:
        if not url.startswith(("http://", "https://")):
            raise argparse.ArgumentTypeError(
                f"'{url}' must start with http:// or https://"
            )
    if not urls:
        raise argparse.ArgumentTypeError("no address is given")
    return Endpoints(urls)


def read_key(path: str) -> result.Result[str, failures.Failure]:
    """Return the key in a file, without surrounding white space."""
    try:
        key = pathlib.Path(path).read_text().strip()
    except (OSError, ValueError) as error:
        message = f"the key file can't be read: {error}"
        return result.Failure(failures.Failure(codes.Code.BAD_SETTINGS, message))
    if not key or not key.isascii() or not key.isprintable():
        message = f"{path}: the key must be one line of ASCII text"
        return result.Failure(failures.Failure(codes.Code.BAD_SETTINGS, message))
    return result.Success(key)


@contextlib.asynccontextmanager
async def open_client(
    access: Access, key: str
) -> AsyncIterator[client.OperatorsClient]:
    """Open a client and close it at the end of the context."""
    connector = aiohttp.TCPConnector(ssl=client.create_ssl_context(access.ca_file))
    async with aiohttp.ClientSession(connector=connector) as session:
        yield client.OperatorsClient(session, access.operators.urls, key)


async def run_with_client(
    access: Access,
    command: Callable[[client.OperatorsClient], Awaitable[exits.Exit]],
) -> exits.Exit:
    """Run a command with an open client and return its exit code."""
    key = read_key(access.key_file)
    if not isinstance(key, result.Success):
        return output.print_failure(key.failure(), access.as_json)
    try:
        async with open_client(access, key.unwrap()) as operators_client:
            return await command(operators_client)
    except OSError as error:
        failure = failures.Failure(codes.Code.BAD_SETTINGS, str(error))
        return output.print_failure(failure, access.as_json)
