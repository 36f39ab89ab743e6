import msgspec
import pytest

from quetzalpass.cli import client, connection, exits, main, output
from quetzalpass.results import codes


class TestJoinAddresses:
    @pytest.mark.parametrize(
        "argv",
        [
            ["apply", "--operators", "http://a:1", "http://b:1", "folder"],
            ["apply", "folder", "--operators=http://a:1", "--operators", "http://b:1"],
            ["apply", "folder", "--operators", "http://a:1,http://b:1"],
        ],
    )
    def test_all_spellings_are_equivalent(self, argv):
        joined = ["apply", "folder", "--operators=http://a:1,http://b:1"]
        assert main.join_addresses(argv) == joined

    def test_an_address_outside_of_the_options_is_kept(self):
        argv = ["generate", "m", "see http://a:1"]
        assert main.join_addresses(argv) == argv


class TestExitCodes:
    def test_an_invalid_declaration(self, tmp_path, capsys):
        assert main.run(["check", str(tmp_path), "--json"]) == exits.Exit.INVALID
        assert not msgspec.json.decode(capsys.readouterr().out)["valid"]

    def test_an_unknown_benchmark(self):
        assert main.run(["bench", "none"]) == exits.Exit.USAGE

    @pytest.mark.parametrize("argv", [["none"], ["check"], ["status"]])
    def test_incorrect_usage(self, argv):
        with pytest.raises(SystemExit) as raised:
            main.run(argv)
        assert raised.value.code == exits.Exit.USAGE

    def test_a_missing_key_file(self, tmp_path):
        argv = ["status", "--operators", "http://127.0.0.1:9", "--key-file"]
        assert main.run([*argv, str(tmp_path / "none")]) == exits.Exit.USAGE

    def test_every_code_has_an_exit_code(self):
        assert {exits.exit_for_code(code) for code in codes.Code} <= set(exits.Exit)


class TestDecodeReply:
    def test_a_response_of_another_program_is_a_failure(self):
        for status in (200, 404):
            outcome = client.decode_reply(status, b"<html>", connection.Access, "url")
            assert outcome.failure().code is codes.Code.UNREACHABLE


class TestPrintable:
    def test_control_characters_are_escaped(self):
        assert output.printable("a\x1b[31m\tb\n") == "a\\x1b[31m\tb\n"
