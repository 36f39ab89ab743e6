"""Deterministic output text of the stand-in engine.

Every replica generates the same tokens for the same prompt. A test can therefore
detect a repeated or missing token, or one of another request, from the text alone, and
any replica can continue a generation after its tokens.
"""

import re

import xxhash

DEFAULT_OUTPUT_TOKENS = 24
LENGTH_DIRECTIVE = re.compile(r"\[tokens=(\d{1,6})\]")


def output_length(prompt: str, max_tokens: int) -> int:
    """Return the number of tokens that the engine generates for a prompt.

    A prompt that contains ``[tokens=N]`` gets N tokens; the gateway ignores this text.
    """
    match = LENGTH_DIRECTIVE.search(prompt)
    requested = int(match.group(1)) if match else DEFAULT_OUTPUT_TOKENS
    return min(requested, max_tokens)


def prompt_tag(prompt: str) -> str:
    """Return the tag that starts every token of a prompt's output."""
    return xxhash.xxh32_hexdigest(prompt.encode())[:4]


def token_text(tag: str, offset: int) -> str:
    """Return the token at an offset of the output with a tag."""
    return f"{tag}.{offset} "


def expected_text(prompt: str, max_tokens: int) -> str:
    """Return the complete output for a prompt."""
    tag = prompt_tag(prompt)
    length = output_length(prompt, max_tokens)
    return "".join(token_text(tag, offset) for offset in range(length))
