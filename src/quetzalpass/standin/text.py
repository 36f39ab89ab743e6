"""Deterministic output text of the stand-in engine.

Every replica gives the same tokens for the same prompt, so that a checker can tell a
repeated, missing or foreign token from the text alone, and so that any replica can
continue a generation from its tokens.
"""

import re

import xxhash

DEFAULT_OUTPUT_TOKENS = 24
LENGTH_DIRECTIVE = re.compile(r"\[tokens=(\d{1,6})\]")


def output_length(prompt: str, max_tokens: int) -> int:
    """Return how many tokens the engine generates for a prompt.

    A prompt that contains ``[tokens=N]`` gets N tokens; the gateway never looks at it.
    """
    found = LENGTH_DIRECTIVE.search(prompt)
    wanted = int(found.group(1)) if found else DEFAULT_OUTPUT_TOKENS
    return min(wanted, max_tokens)


def prompt_tag(prompt: str) -> str:
    """Return the short tag that marks every token of a prompt's output."""
    return xxhash.xxh32_hexdigest(prompt.encode())[:4]


def token_text(tag: str, offset: int) -> str:
    """Return the token at an offset of the output that a tag marks."""
    return f"{tag}.{offset} "


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the whole output for a prompt."""
    tag = prompt_tag(prompt)
    length = output_length(prompt, max_tokens)
    return "".join(token_text(tag, offset) for offset in range(length))
