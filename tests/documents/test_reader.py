from returns import result

from quetzalpass.documents import reader


def problem_texts(text):
    outcome = reader.parse(text, "file.yaml")
    assert isinstance(outcome, result.Failure)
    return [problem.text() for problem in outcome.failure()]


class TestRejectedText:
    def test_aliases_are_rejected_before_they_are_expanded(self):
        text = b"a: &a [x, x]\nb: [*a, *a]\n"
        assert "file.yaml:2: aliases are not supported" in problem_texts(text)[0]

    def test_deep_nesting_is_rejected(self):
        assert "levels of nesting" in problem_texts(b"[" * 40)[0]
        assert "nesting" in problem_texts(b"[" * 100_000)[0]

    def test_a_duplicate_field_is_reported_with_both_lines(self):
        (text,) = problem_texts(b"a: 1\nb: 2\na: 3\n")
        assert text == "file.yaml:3: a: the field is given twice, first on line 1"

    def test_a_syntax_error_is_reported_with_its_line(self):
        assert problem_texts(b"a: 1\nb: [\n")[0].startswith("file.yaml:3: not YAML")

    def test_other_encodings_are_rejected(self):
        assert problem_texts(b"a: 1\nb: \xff\n") == ["file.yaml:2: not UTF-8 text"]

    def test_unknown_tags_are_rejected(self):
        assert problem_texts(b"a: !!python/object:os.system x\n")

    def test_a_top_level_list_is_rejected(self):
        assert "must contain fields" in problem_texts(b"- a\n")[0]


class TestAcceptedText:
    def test_times_are_kept_as_text(self):
        node = reader.parse(b"a: 2026-12-04T06:00:00Z\n", "f").unwrap()
        assert node.to_builtins() == {"a": "2026-12-04T06:00:00Z"}

    def test_an_empty_file_has_no_fields(self):
        assert reader.parse(b"# nothing\n", "f").unwrap().to_builtins() == {}
