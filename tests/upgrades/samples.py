"""Samples of all messages and stored records of a build, and their decoding.

Runs with the sources of any build on the path: ``samples.py make`` writes samples as
JSON lines to the standard output, and ``samples.py decode`` reads such lines and writes
what the build has understood. ``golden.jsonl`` was made with the sources of 5cd4451::

    PYTHONPATH=OLD/src python samples.py make > golden.jsonl
"""

import importlib
import json
import pkgutil
import sys

import msgspec
from msgspec import inspect

import quetzalpass
from quetzalpass.wire import messages

# Types that are encoded inside messages, or stored.
JSON_TYPES = (
    "declarations.delta.Delta",
    "declarations.schema.Declaration",
    "lifecycle.handover_messages.HandoverHead",
    "results.failures.Failure",
)
MSGPACK_TYPES = (
    "consensus.entries.StoredRecord",
    "consensus.entries.Configuration",
    "consensus.log.GroupSnapshot",
    "control.declared_state.Command",
    "control.declared_state.ApplyOutcome",
    "control.declared_state.PublishOutcome",
    "control.declared_state.AcceptedDeclaration",
    "control.ledger.LedgerSnapshot",
    "control.ledger_messages.Batch",
    "control.ledger_messages.BatchReply",
    "lifecycle.claimed_generations.RecordedGeneration",
)
# Modules that have moved since; samples keep the names of the version before.
MOVED_MODULES = {"relay.handover_messages": "lifecycle.handover_messages"}
SCALARS = {
    inspect.IntType: 3,
    inspect.FloatType: 0.5,
    inspect.StrType: "text",
    inspect.BytesType: b"bytes",
    inspect.NoneType: None,
    inspect.AnyType: "any",
    inspect.RawType: msgspec.Raw(b'"raw"'),
}
SEQUENCES = {
    inspect.ListType: list,
    inspect.SetType: set,
    inspect.FrozenSetType: frozenset,
    inspect.VarTupleType: tuple,
}


class Sampler:
    """Builds one variant of each type.

    Attributes
    ----------
    variant : int
        Selects the member of each enumeration and union.
    choices : int
        Most members seen: so many variants show all of them.
    """

    def __init__(self, variant):
        self.variant = variant
        self.choices = 1

    def choose(self, members):
        self.choices = max(self.choices, len(members))
        return members[self.variant % len(members)]

    def sample(self, info):
        """Return a value of a type, with no field left out."""
        kind = type(info)
        if kind in SCALARS:
            return SCALARS[kind]
        if kind in SEQUENCES:
            return SEQUENCES[kind]([self.sample(info.item_type)])
        if kind is inspect.Metadata:
            return self.sample(info.type)
        if kind is inspect.BoolType:
            return self.choose((True, False))
        if kind is inspect.EnumType:
            return self.choose(list(info.cls))
        if kind is inspect.LiteralType:
            return self.choose(info.values)
        if kind is inspect.UnionType:
            # The other variants come first: None is the least of a field.
            types = sorted(info.types, key=lambda e: isinstance(e, inspect.NoneType))
            return self.sample(self.choose(types))
        if kind is inspect.TupleType:
            return tuple(self.sample(each) for each in info.item_types)
        if kind is inspect.DictType:
            return {self.sample(info.key_type): self.sample(info.value_type)}
        assert kind is inspect.StructType, info
        fields = {each.name: self.sample(each.type) for each in info.fields}
        return info.cls(**fields)


def message_types():
    """Return the types of all requests and replies between processes."""
    for each in pkgutil.walk_packages(quetzalpass.__path__, "quetzalpass."):
        if not each.name.endswith("__main__"):
            importlib.import_module(each.name)
    waiting, found = [messages.Request, messages.Reply], {}
    while waiting:
        for each in waiting.pop().__subclasses__():
            waiting.append(each)
            module = each.__module__.removeprefix("quetzalpass.")
            found[f"{MOVED_MODULES.get(module, module)}.{each.__name__}"] = each
    return found


def listed_type(name):
    """Return a type by its name, in whichever module this build has it."""
    module, _, attribute = name.rpartition(".")
    new_modules = {old: new for new, old in MOVED_MODULES.items()}
    try:
        found = importlib.import_module(
            f"quetzalpass.{new_modules.get(module, module)}"
        )
    except ModuleNotFoundError:
        found = importlib.import_module(f"quetzalpass.{module}")
    return getattr(found, attribute)


def codecs():
    """Return the type and the codec of each kind of message and record, by name."""
    found = {n: (each, msgspec.json) for n, each in message_types().items()}
    found.update({n: (listed_type(n), msgspec.json) for n in JSON_TYPES})
    found.update({n: (listed_type(n), msgspec.msgpack) for n in MSGPACK_TYPES})
    return dict(sorted(found.items()))


def all_samples():
    """Return the name and the encoded bytes of all samples."""
    found = []
    for name, (wanted, codec) in codecs().items():
        variant = choices = 0
        while variant == 0 or variant < choices:
            sampler = Sampler(variant)
            value = sampler.sample(inspect.type_info(wanted))
            found.append((name, codec.encode(value)))
            choices = max(choices, sampler.choices)
            variant += 1
    return found


def understood(name, data):
    """Return what this build makes of bytes: None if it has no such type."""
    known = codecs().get(name)
    if known is None:
        return None
    wanted, codec = known
    return codec.encode(codec.decode(data, type=wanted))


def content(name, data):
    """Return encoded bytes as plain values, without the names of types."""
    codec = msgspec.msgpack if name in MSGPACK_TYPES else msgspec.json
    return codec.decode(data)


def to_line(name, data):
    return json.dumps([name, None if data is None else data.hex()])


def from_line(line):
    name, data = json.loads(line)
    return name, None if data is None else bytes.fromhex(data)


def main():
    """Write all samples, or what this build makes of those of another one."""
    if sys.argv[1] == "make":
        lines = [to_line(name, data) for name, data in all_samples()]
    else:
        read = [from_line(line) for line in sys.stdin]
        lines = [to_line(name, understood(name, data)) for name, data in read]
    print("\n".join(lines))


if __name__ == "__main__":
    main()
