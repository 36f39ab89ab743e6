"""The command ``generate``: streams one generation as a caller does."""

import asyncio
import sys

import aiohttp
import msgspec
from returns import result

from quetzalpass.cli import (
    client,
    completion_messages,
    connection,
    exits,
    generation,
    output,
)
from quetzalpass.results import codes, failures


def generate(
    model: str,
    prompt: str,
    *,
    gateways: connection.Endpoints,
    key_file: str,
    chat: bool = False,
    max_tokens: int | None = None,
    class_name: str | None = None,
    timeout_ms: int | None = None,
    silence: float = 30.0,
    ca_file: str | None = None,
    json: bool = False,
) -> int:
    """Stream one generation; resume at the next gateway if the connection is lost.

    Parameters
    ----------
    model : str
        Model, or model:adapter.
    prompt : str
        The prompt.
    gateways : connection.Endpoints
        Addresses of callers' listeners, separated by commas.
    key_file : str
        File with the organisation's key.
    chat : bool
        Use the chat interface.
    max_tokens : int or None
        Longest output, in tokens.
    class_name : str or None
        Priority class.
    timeout_ms : int or None
        Longest time for the whole response, in milliseconds.
    silence : float
        Silence after which a connection counts as lost, in seconds.
    ca_file : str or None
        PEM file of accepted certificate authorities.
    json : bool
        Print one JSON object at the end in place of the text.
    """
    key = connection.read_key(key_file)
    if not isinstance(key, result.Success):
        return output.print_failure(key.failure(), json)
    request = completion_messages.GenerationRequest(
        gateways=gateways.urls,
        key=key.unwrap(),
        model=model,
        prompt=prompt,
        chat=chat,
        max_tokens=max_tokens,
        class_name=class_name,
        timeout_ms=timeout_ms,
        silence_s=silence,
    )
    return asyncio.run(run(request, ca_file, json))


class Report(msgspec.Struct, frozen=True):
    """Outcome of a generation.

    Attributes
    ----------
    code : int
        Numbered result code.
    name : str
        Name of the code.
    message : str
        Error message; empty on success.
    generated : completion_messages.GenerationOutput
        The output received.
    """

    code: int
    name: str
    message: str
    generated: completion_messages.GenerationOutput


async def run(
    request: completion_messages.GenerationRequest, ca_file: str | None, as_json: bool
) -> exits.Exit:
    """Stream one generation and print it."""
    try:
        context = client.create_ssl_context(ca_file)
    except OSError as error:
        failure = failures.Failure(codes.Code.BAD_SETTINGS, f"{ca_file}: {error}")
        return output.print_failure(failure, as_json)
    connector = aiohttp.TCPConnector(ssl=context)
    async with aiohttp.ClientSession(connector=connector) as session:
        on_text = ignore_text if as_json else print_text
        stream = generation.Generation(session, request, on_text)
        outcome = await stream.run()
    return print_outcome(outcome, stream.generated, as_json)


def ignore_text(text: str) -> None:
    """Ignore a piece of text; with JSON output all text is printed at the end."""


def print_text(text: str) -> None:
    """Print a piece of text at once, with control characters escaped."""
    sys.stdout.write(output.printable(text))
    sys.stdout.flush()


def print_outcome(
    outcome: result.Result[completion_messages.GenerationOutput, failures.Failure],
    generated: completion_messages.GenerationOutput,
    as_json: bool,
) -> exits.Exit:
    """Print the outcome of a generation and return its exit code."""
    failure = failures.Failure(codes.Code.OK, "")
    if not isinstance(outcome, result.Success):
        failure = outcome.failure()
    if as_json:
        code = failure.code
        report = Report(code.value, code.name.lower(), failure.message, generated)
        output.print_result(report, [], as_json)
        return exits.exit_for_code(code)
    print()
    if failure.code is not codes.Code.OK:
        return output.print_failure(failure, as_json)
    print(summary(generated), file=sys.stderr)
    return exits.Exit.OK


def summary(generated: completion_messages.GenerationOutput) -> str:
    """Return a line with the figures of a complete generation."""
    first = generated.first_token_s or 0.0
    return output.printable(
        f"generation {generated.generation_id}: {generated.completion_tokens} tokens, "
        f"first after {first:.3f} s, longest gap {generated.longest_gap_s:.3f} s, "
        f"{generated.connections} connections"
    )
