"""Bytes of declarations and settings: whatever they are, nothing may raise."""

import os
import pathlib

import msgspec
import yaml
from hypothesis import HealthCheck, given, settings, strategies
from returns import result

from quetzalpass.declarations import checks, entries, loader, schema
from quetzalpass.documents import reader, shape
from quetzalpass.settings import checks as settings_checks
from quetzalpass.settings import schema as settings_schema

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
SOURCES = [
    path.read_bytes()
    for path in sorted(EXAMPLES.glob("*/*.yaml"))
    + sorted(EXAMPLES.glob("*/settings/entry-1.yaml"))
]
LONG = os.environ.get("QUETZALPASS_FUZZ_PROFILE") == "long"
PROFILE = settings(
    derandomize=not LONG,
    deadline=None,
    max_examples=5_000 if LONG else 150,
    suppress_health_check=[HealthCheck.too_slow],
)
SNIPPETS = [
    b"[",
    b"{",
    b"}",
    b": ",
    b"- ",
    b"&a ",
    b"*a",
    b"!!binary ",
    b"!!set ",
    b"? ",
    b"<<: ",
    b"\x00",
    b"\xff",
    b'"\\ud800"',
    b"\xe2\x80\xa8",
    b"9" * 5_000,
    b"1e999",
    b".nan",
    b"0b",
    b"0x_",
    b"1:60",
    b"2026-13-45",
    b"2026-02-30 25:61:00",
    b"%YAML 9.9\n---\n",
    b"\n---\n",
    b"~",
    b"yes",
    b"|\n",
]

scalars = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.sampled_from(["engine", "leaving", "http://[", "http://h:99999"])
)
FIELDS = sorted(
    {
        name
        for kind in [*entries.ITEM_TYPES.values(), schema.Declaration, schema.Route]
        for name in kind.__struct_fields__
    }
)
values = strategies.recursive(
    scalars,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.sampled_from(FIELDS), inner, max_size=6)
    ),
    max_leaves=25,
)


@strategies.composite
def damaged(draw):
    """Return an example with some places cut, repeated or replaced."""
    data = draw(strategies.sampled_from(SOURCES))
    for _ in range(draw(strategies.integers(1, 4))):
        start = draw(strategies.integers(0, len(data)))
        length = draw(strategies.integers(0, 40))
        piece = draw(strategies.sampled_from(SNIPPETS) | strategies.binary(max_size=8))
        data = data[:start] + piece + data[start + length :]
    return data


def read_both(data):
    """Read bytes as a declaration and as settings, down to the last check."""
    document = reader.parse(data, "file.yaml")
    if not isinstance(document, result.Success):
        assert document.failure()
        return
    node = document.unwrap()
    declaration, faults = shape.convert(node, schema.Declaration)
    found = checks.check_document(entries.Document(node, declaration))
    for problem in [*faults, *found]:
        assert "\n" not in problem.text()
    if declaration is not None:
        converted = checks.check_document(entries.Document(node))
        assert [each.text() for each in converted] == [each.text() for each in found]
        checks.check_declaration(declaration)
        assert schema.decode(schema.encode(declaration)) == declaration
    loaded, _ = shape.convert(node, settings_schema.Settings)
    if loaded is not None:
        settings_checks.check_settings(loaded, "file.yaml")


class TestBytes:
    @PROFILE
    @given(strategies.binary(max_size=200))
    def test_any_bytes(self, data):
        read_both(data)

    @PROFILE
    @given(strategies.lists(strategies.sampled_from(SNIPPETS), max_size=12))
    def test_pieces_of_yaml(self, pieces):
        read_both(b"".join(pieces))

    @PROFILE
    @given(damaged())
    def test_damaged_examples(self, data):
        read_both(data)

    @PROFILE
    @given(strategies.dictionaries(strategies.sampled_from(FIELDS), values))
    def test_values_of_any_shape_under_known_names(self, value):
        read_both(yaml.safe_dump(value, allow_unicode=True).encode(errors="replace"))


class TestTypedDeclarations:
    @PROFILE
    @given(values)
    def test_the_checks_take_any_typed_declaration(self, value):
        try:
            declaration = msgspec.convert(value, type=schema.Declaration, strict=False)
        except (msgspec.ValidationError, OverflowError):
            return
        checks.check_declaration(declaration)

    def test_a_typed_declaration_of_strange_values(self):
        strange = "\ud800\n\x00"
        declaration = schema.Declaration(
            models=(schema.Model(strange, strange, minimum_ready=-(2**70)),),
            organisations=(
                schema.Organisation(strange, (strange,), weight=float("nan")),
            ),
            vms=(schema.Vm(strange, strange, deadline=strange),),
            servers=(
                schema.BackendServer(
                    strange, strange, schema.ServerKind.ENGINE, "http://["
                ),
            ),
        )
        assert checks.check_declaration(declaration)


class TestFolders:
    def test_a_folder_in_place_of_a_file_is_a_problem(self, tmp_path):
        (tmp_path / "a.yaml").mkdir()
        assert isinstance(loader.load_folder(tmp_path), result.Failure)
