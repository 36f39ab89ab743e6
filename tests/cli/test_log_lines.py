import json

from quetzalpass.cli import main


def line(time, request, **fields):
    return json.dumps({"time": time, "request": request, **fields}) + "\n"


class TestLogs:
    def write_logs(self, folder):
        first = folder / "edge-1.log"
        first.write_text(
            line("2026-12-04T02:00:03", "q-1", decision="served")
            + line("2026-12-04T02:00:01", "q-2")
            + "no json at all q-1\n"
        )
        second = folder / "edge-2.log"
        second.write_text("  1.5 edge-2 " + line("2026-12-04T02:00:02", "q-1"))
        return [str(first), str(second)]

    def test_the_lines_of_a_request_are_sorted_by_time(self, tmp_path, capsys):
        files = self.write_logs(tmp_path)
        assert main.run(["logs", "q-1", *files]) == 0
        lines = capsys.readouterr().out.splitlines()
        assert [text.split(":")[0] for text in lines] == ["edge-2.log", "edge-1.log"]

    def test_json(self, tmp_path, capsys):
        main.run(["logs", "q-1", *self.write_logs(tmp_path), "--json"])
        report = json.loads(capsys.readouterr().out)
        assert [entry["time"][-2:] for entry in report["lines"]] == ["02", "03"]

    def test_it_reports_that_no_line_was_found(self, tmp_path, capsys):
        assert main.run(["logs", "q-9", *self.write_logs(tmp_path)]) == 1
        assert "no line of request q-9" in capsys.readouterr().out

    def test_a_missing_file_is_a_failure(self, tmp_path, capsys):
        assert main.run(["logs", "q-1", str(tmp_path / "none")]) == 2
