from returns import result

from quetzalpass.documents import reader


def problems_of(text):
    outcome = reader.parse(text, "file.yaml")
    assert isinstance(outcome, result.Failure)
    return [problem.text() for problem in outcome.failure()]


class TestRefusedText:
    def test_aliases_are_refused_before_they_are_expanded(self):
        text = b"a: &a [x, x]\nb: [*a, *a]\n"
        assert "file.yaml:2: aliases are not read" in problems_of(text)[0]

    def test_deep_nesting_is_refused(self):
        assert "levels of nesting" in problems_of(b"[" * 40)[0]
        assert "nesting" in problems_of(b"[" * 100_000)[0]

    def test_a_repeated_field_names_both_lines(self):
        (text,) = problems_of(b"a: 1\nb: 2\na: 3\n")
        assert text == "file.yaml:3: a: the field is given twice, first on line 1"

    def test_a_syntax_error_names_its_line(self):
        assert problems_of(b"a: 1\nb: [\n")[0].startswith("file.yaml:3: not YAML")

    def test_other_encodings_are_refused(self):
        assert problems_of(b"a: 1\nb: \xff\n") == ["file.yaml:2: not UTF-8 text"]

    def test_unknown_tags_are_refused(self):
        assert problems_of(b"a: !!python/object:os.system x\n")

    def test_a_list_is_no_document(self):
        assert "must hold fields" in problems_of(b"- a\n")[0]


class TestAcceptedText:
    def test_times_stay_text(self):
        node = reader.parse(b"a: 2026-12-04T06:00:00Z\n", "f").unwrap()
        assert node.plain() == {"a": "2026-12-04T06:00:00Z"}

    def test_an_empty_file_holds_no_fields(self):
        assert reader.parse(b"# nothing\n", "f").unwrap().plain() == {}
