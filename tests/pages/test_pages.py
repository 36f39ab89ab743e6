import pathlib

import pytest

from quetzalpass.pages import attributes, main, result_table, struct_tables
from quetzalpass.settings import schema

DOCS = pathlib.Path(__file__).parents[2] / "docs"


class TestPages:
    @pytest.mark.parametrize("name", main.PAGES)
    def test_the_document_agrees_with_the_code(self, name):
        text = (DOCS / name).read_text()
        assert text == main.with_part(text, main.PAGES[name]()), (
            "run: python -m quetzalpass.pages.main docs"
        )

    def test_a_document_without_markers_is_refused(self):
        with pytest.raises(ValueError, match="marker"):
            main.with_part("text", "part")

    def test_the_result_table(self, snapshot):
        assert result_table.table() == snapshot


class TestStructTables:
    def test_a_field_without_description_is_refused(self):
        class Undescribed(schema.Strict, frozen=True):
            """Nothing is said of its field."""

            name: str

        with pytest.raises(KeyError):
            struct_tables.section_of(Undescribed)

    def test_a_table_names_type_unit_default_and_meaning(self):
        rows = list(struct_tables.rows_of(schema.Limits))
        expected = "| `silent_stream_s` | a number | seconds | `10.0` | Silence on a"
        assert any(row.startswith(expected) for row in rows)

    def test_descriptions_may_take_several_lines(self):
        described = attributes.descriptions_of(schema.Listener)
        assert described["key_file"].endswith("keys of their organisation instead.")
