import pathlib

import pytest

from quetzalpass.pages import attributes, main, result_table, struct_tables
from quetzalpass.settings import schema

DOCS = pathlib.Path(__file__).parents[2] / "docs"


class TestPages:
    @pytest.mark.parametrize("name", main.PAGES)
    def test_the_page_is_up_to_date(self, name):
        text = (DOCS / name).read_text()
        assert text == main.replace_generated_part(text, main.PAGES[name]()), (
            "run: python -m quetzalpass.pages.main docs"
        )

    def test_a_page_without_markers_is_rejected(self):
        with pytest.raises(ValueError, match="marker"):
            main.replace_generated_part("text", "part")

    def test_the_result_table(self, snapshot):
        assert result_table.render_table() == snapshot


class TestStructTables:
    def test_a_field_without_a_description_is_rejected(self):
        class Undescribed(schema.Strict, frozen=True):
            """Has a field without a description."""

            name: str

        with pytest.raises(KeyError):
            struct_tables.render_section(Undescribed)

    def test_a_row_has_type_unit_default_and_meaning(self):
        rows = list(struct_tables.render_rows(schema.Limits))
        expected = "| `silent_stream_s` | a number | seconds | `10.0` | Silence on a"
        assert any(row.startswith(expected) for row in rows)

    def test_descriptions_can_span_several_lines(self):
        descriptions = attributes.attribute_descriptions(schema.Listener)
        assert descriptions["key_file"].endswith("keys of their organisation instead.")
