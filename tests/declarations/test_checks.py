import pytest

from quetzalpass.declarations import checks, loader, schema
from quetzalpass.documents import problems

ENGINE = schema.ServerKind.ENGINE
VALID = """
models:
  - {name: claims-llm, version: v1, default_class: drafts}
classes:
  - {name: drafts, reserved_share: 0.5}
organisations:
  - {id: kade, key_sha256: [%s]}
data_centres:
  - {id: flx-a, region: be-flanders}
vms:
  - {id: vm-1, data_centre: flx-a}
servers:
  - {id: s-1, vm: vm-1, kind: engine, url: "http://h:1", models: [claims-llm]}
  - {id: s-2, vm: vm-1, kind: service, url: "http://h:2", service: ledger-app}
services:
  - name: ledger-app
    outcome_path: /outcomes/{key}
    non_idempotent_routes: [{method: POST, path_prefix: /invoices}]
""" % ("a" * 64)


def check(folder, text):
    (folder / "all.yaml").write_text(text)
    return loader.check_folder(folder)


INVALID = [
    ("name: claims-llm, v", "name: 'a b', v", "models[0].name"),
    ("default_class: drafts", "default_class: draft", "did you mean 'drafts'"),
    ("version: v1", "version: v1, previous_version: v1", "previous_version"),
    ("version: v1", "version: v1, minimum_ready: 2", "minimum_ready: only 1"),
    ("version: v1", "version: 1.10", "models[0].version: must be text"),
    ("version: v1", "version: v1, size_mb: .inf", "size_mb: must be a whole number"),
    ("share: 0.5", "share: 1.5", "reserved_share: must be at most 1"),
    (", reserved_share: 0.5}", "}\n  - {name: drafts}", "declared already"),
    ("share: 0.5}", "share: 0.5}\n  - {name: b, reserved_share: 0.6}", "add up to 1.1"),
    ("[%s]" % ("a" * 64), "[abc]", "key_sha256[0]: must be a SHA-256"),
    ("a" * 64, "abc", "key_sha256[0]: must be a SHA-256"),
    ("id: kade", "id: kade, weight: 0", "weight: must be above 0"),
    ("data_centre: flx-a", "data_centre: flx-b", "did you mean 'flx-a'"),
    ("data_centre: flx-a", "data_center: flx-a", "did you mean 'data_centre'"),
    ("flx-a}\nservers", "flx-a, state: gone}\nservers", "state: must be one of"),
    (
        "flx-a}\nservers",
        "flx-a, deadline: 2026-12-04T06:00}\nservers",
        "with a time zone",
    ),
    ("models: [claims-llm]", "models: []", "at least one model"),
    ("models: [claims-llm]", "models: [claims]", "servers[0].models[0]"),
    ("http://h:2", "http://h:1", "'s-1' has the same URL"),
    ("http://h:2", "h:2", "is not an HTTP URL"),
    (", service: ledger-app", "", "must name its service"),
    ("service: ledger-app", "service: ledger", "did you mean 'ledger-app'"),
    ("- name: ledger-app", "- default_class: drafts", "services[0].name: the field"),
    ("/outcomes/{key}", "/outcomes", "outcome_path"),
    ("method: POST", "method: Post", "did you mean 'POST'"),
    ("/invoices", "invoices", "path_prefix"),
]


class TestCheckFolder:
    def test_a_valid_declaration_has_no_problems(self, tmp_path):
        report = check(tmp_path, VALID)
        assert report.problems == ()
        assert report.declaration is not None
        assert checks.check_declaration(report.declaration) == ()

    @pytest.mark.parametrize(("old", "new", "expected"), INVALID)
    def test_each_problem_is_reported(self, tmp_path, old, new, expected):
        assert old in VALID
        report = check(tmp_path, VALID.replace(old, new))
        assert report.declaration is None
        texts = [problem.text() for problem in report.problems]
        assert any(expected in text for text in texts), texts

    def test_all_errors_are_reported_at_once_sorted_by_line(self, tmp_path):
        text = VALID
        for old, new, _ in (INVALID[1], INVALID[6], INVALID[13], INVALID[25]):
            text = text.replace(old, new)
        lines = [problem.line for problem in check(tmp_path, text).problems]
        assert lines == [3, 5, 5, 11, 11, 18]

    def test_an_invalid_entry_causes_no_unknown_references(self, tmp_path):
        text = VALID.replace("version: v1", "versoin: v1")
        fields = {problem.field for problem in check(tmp_path, text).problems}
        assert fields == {"models[0].versoin", "models[0].version"}

    def test_leaving_without_a_deadline_is_a_warning(self, tmp_path):
        text = VALID.replace("flx-a}\nservers", "flx-a, state: leaving}\nservers")
        report = check(tmp_path, text)
        assert report.declaration is not None
        assert {problem.severity for problem in report.problems} == {
            problems.Severity.WARNING
        }

    def test_an_organisation_without_keys_is_a_warning(self, tmp_path):
        report = check(tmp_path, VALID.replace("[%s]" % ("a" * 64), "[]"))
        assert report.declaration is not None
        (problem,) = report.problems
        assert "has no key" in problem.text()
        assert problem.severity is problems.Severity.WARNING

    def test_a_declaration_without_files_is_validated_too(self, tmp_path):
        declaration = check(tmp_path, VALID).declaration
        broken = type(declaration)(models=declaration.models)
        fields = [problem.field for problem in checks.check_declaration(broken)]
        assert "models[0].default_class" in fields

    @pytest.mark.parametrize("end", ["\n", "\r", "\x00", "\u2028"])
    def test_text_with_control_characters_is_rejected(self, end):
        declaration = schema.Declaration(
            models=(schema.Model("m" + end, "v" + end, "w" + end),),
            organisations=(schema.Organisation("o", ("a" * 64 + end,)),),
            data_centres=(schema.DataCentre("dc", "r" + end),),
            vms=(schema.Vm("v", "dc", deadline="2026-12-04T06:00:00Z" + end),),
            servers=(schema.BackendServer("s", "v", ENGINE, f"http://h:1/{end}x"),),
            services=(schema.Service("q", (schema.Route("GET", f"/{end}"),)),),
        )
        found = checks.select_errors(checks.check_declaration(declaration))
        assert {problem.field for problem in found} >= {
            "models[0].name",
            "models[0].version",
            "models[0].previous_version",
            "organisations[0].key_sha256[0]",
            "data_centres[0].region",
            "vms[0].deadline",
            "servers[0].url",
            "services[0].non_idempotent_routes[0].path_prefix",
        }
        assert all(problem.text().isprintable() for problem in found)

    def test_infinite_and_huge_numbers_are_rejected(self):
        weights = [float("nan"), float("inf"), float(2**70)]
        declaration = schema.Declaration(
            organisations=tuple(
                schema.Organisation(f"o{index}", (f"{index}" * 64,), weight=weight)
                for index, weight in enumerate(weights)
            )
        )
        fields = [problem.field for problem in checks.check_declaration(declaration)]
        assert fields == [f"organisations[{index}].weight" for index in range(3)]


class TestMergedFiles:
    def test_lists_of_all_files_are_concatenated(self, tmp_path):
        (tmp_path / "a.yaml").write_text("data_centres: [{id: a, region: r}]\n")
        (tmp_path / "b.yml").write_text("data_centres: [{id: b, region: r}]\n")
        declaration = loader.load_folder(tmp_path).unwrap()
        assert [item.id for item in declaration.data_centres] == ["a", "b"]

    def test_a_field_that_is_no_list_is_allowed_in_one_file_only(self, tmp_path):
        for name in ("a.yaml", "b.yaml"):
            (tmp_path / name).write_text("objective: {stall_weight: 1}\n")
        (problem,) = loader.load_folder(tmp_path).failure()
        assert "is already given in" in problem.message

    def test_a_single_file_is_a_declaration(self, tmp_path):
        path = tmp_path / "one.yaml"
        path.write_text(VALID)
        assert loader.load_folder(path).unwrap().models[0].name == "claims-llm"

    def test_an_empty_folder_is_rejected(self, tmp_path):
        (problem,) = loader.load_folder(tmp_path).failure()
        assert problem.message == "the folder contains no YAML file"
