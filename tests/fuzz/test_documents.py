"""Tests that no content of a declaration or settings file raises an exception."""

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
def damaged_examples(draw):
    """Return an example file with some parts removed or replaced."""
    data = draw(strategies.sampled_from(SOURCES))
    for _ in range(draw(strategies.integers(1, 4))):
        start = draw(strategies.integers(0, len(data)))
        length = draw(strategies.integers(0, 40))
        fragment = draw(
            strategies.sampled_from(SNIPPETS) | strategies.binary(max_size=8)
        )
        data = data[:start] + fragment + data[start + length :]
    return data


def check_bytes(data):
    """Parse and check bytes as a declaration and as settings."""
    document = reader.parse(data, "file.yaml")
    if not isinstance(document, result.Success):
        assert document.failure()
        return
    node = document.unwrap()
    declaration, shape_problems = shape.convert(node, schema.Declaration)
    check_problems = checks.check_document(entries.Document(node, declaration))
    for problem in [*shape_problems, *check_problems]:
        assert "\n" not in problem.text()
    if declaration is not None:
        converted = checks.check_document(entries.Document(node))
        assert [each.text() for each in converted] == [
            each.text() for each in check_problems
        ]
        checks.check_declaration(declaration)
        assert schema.decode(schema.encode(declaration)) == declaration
    loaded, _ = shape.convert(node, settings_schema.Settings)
    if loaded is not None:
        settings_checks.check_settings(loaded, "file.yaml")


class TestBytes:
    @PROFILE
    @given(strategies.binary(max_size=200))
    def test_any_bytes(self, data):
        check_bytes(data)

    @PROFILE
    @given(strategies.lists(strategies.sampled_from(SNIPPETS), max_size=12))
    def test_yaml_fragments(self, fragments):
        check_bytes(b"".join(fragments))

    @PROFILE
    @given(damaged_examples())
    def test_damaged_examples(self, data):
        check_bytes(data)

    @PROFILE
    @given(strategies.dictionaries(strategies.sampled_from(FIELDS), values))
    def test_values_of_any_shape_under_known_names(self, value):
        check_bytes(yaml.safe_dump(value, allow_unicode=True).encode(errors="replace"))


class TestTypedDeclarations:
    @PROFILE
    @given(values)
    def test_checks_accept_any_typed_declaration(self, value):
        try:
            declaration = msgspec.convert(value, type=schema.Declaration, strict=False)
        except (msgspec.ValidationError, OverflowError):
            return
        checks.check_declaration(declaration)

    def test_typed_declaration_with_unusual_values(self):
        unusual = "\ud800\n\x00"
        declaration = schema.Declaration(
            models=(schema.Model(unusual, unusual, minimum_ready=-(2**70)),),
            organisations=(
                schema.Organisation(unusual, (unusual,), weight=float("nan")),
            ),
            vms=(schema.Vm(unusual, unusual, deadline=unusual),),
            servers=(
                schema.BackendServer(
                    unusual, unusual, schema.ServerKind.ENGINE, "http://["
                ),
            ),
        )
        assert checks.check_declaration(declaration)


class TestFolders:
    def test_folder_in_place_of_a_file_is_a_problem(self, tmp_path):
        (tmp_path / "a.yaml").mkdir()
        assert isinstance(loader.load_folder(tmp_path), result.Failure)
