"""Strategies for documents of other processes: sound ones with odd values inside."""

import copy
import json

from hypothesis import strategies

HUGE = 10**400
# Longer than Python converts to an integer.
ENDLESS = "9" * 5_000
DEPTHS = (50, 950, 990, 1_000, 1_200, 20_000)


class Literal:
    """JSON text that stands for itself, as ``json`` doesn't write such values."""

    def __init__(self, text):
        self.text = text

    def __repr__(self):
        return f"Literal({self.text[:60]!r}, {len(self.text)} characters)"


def nested(depth, opening, closing, inner="1"):
    return Literal(opening * depth + inner + closing * depth)


ODD_VALUES = [
    None,
    True,
    "",
    [],
    {},
    0,
    -1,
    -(2**63) - 1,
    2**53 + 1,
    2**64,
    10**20,
    HUGE,
    -HUGE,
    1e300,
    -1e300,
    2.5,
    Literal(ENDLESS),
    Literal("1e999"),
    Literal("-1e999"),
    Literal("NaN"),
    Literal("nul"),
    Literal('"\\ud800"'),
    Literal('"\\x"'),
    "\u0000",
    "a\r\nX-Other: b",
    "\u0663",
    "x" * 70_000,
    "..:80",
    "a" * 300 + ":80",
    "127.0.0.1:99999",
    "127.0.0.1:" + ENDLESS,
    "127.0.0.1:-1",
    *(nested(depth, "[", "]") for depth in DEPTHS),
    *(nested(depth, '{"a":', "}") for depth in DEPTHS),
]
odd_values = strategies.sampled_from(ODD_VALUES)


def paths(value, prefix=()):
    """Return the paths to all values inside a document, itself included."""
    found = [prefix]
    if isinstance(value, dict):
        for key, inner in value.items():
            found += paths(inner, (*prefix, key))
    if isinstance(value, list):
        for index, inner in enumerate(value):
            found += paths(inner, (*prefix, index))
    return found


def replace(document, path, value):
    """Return a document with the value at a path replaced."""
    if not path:
        return value
    changed = copy.deepcopy(document)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return changed


def to_json(value):
    """Return a document as JSON text, with its literals as they are."""
    if isinstance(value, Literal):
        return value.text
    if isinstance(value, dict):
        fields = (f"{json.dumps(key)}: {to_json(each)}" for key, each in value.items())
        return "{" + ", ".join(fields) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(to_json(each) for each in value) + "]"
    return json.dumps(value)


@strategies.composite
def odd_documents(draw, document, max_changes=2):
    """Return a sound document as JSON, with some values replaced or added."""
    changed = document
    for _ in range(draw(strategies.integers(1, max_changes))):
        path = draw(strategies.sampled_from(paths(changed)))
        changed = replace(changed, path, draw(odd_values))
    if isinstance(changed, dict) and draw(strategies.booleans()):
        changed = {**changed, "unknown": draw(odd_values)}
    return to_json(changed).encode("utf-8", "surrogatepass")


@strategies.composite
def damaged(draw, data):
    """Return bytes of which some were removed or replaced."""
    for _ in range(draw(strategies.integers(1, 3))):
        start = draw(strategies.integers(0, len(data)))
        length = draw(strategies.integers(0, 30))
        middle = draw(strategies.binary(max_size=8))
        data = data[:start] + middle + data[start + length :]
    return data
