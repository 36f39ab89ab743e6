import pytest

from quetzalpass.cli import main

COMMANDS = [
    [],
    ["check"],
    ["diff"],
    ["apply"],
    ["get"],
    ["status"],
    ["watch"],
    ["vm"],
    ["vm", "drain"],
    ["vm", "undrain"],
    ["vm", "out"],
    ["members"],
    ["members", "list"],
    ["members", "add"],
    ["members", "remove"],
    ["generate"],
    ["storage", "verify"],
    ["explain"],
    ["bench"],
]


class TestHelp:
    @pytest.mark.parametrize("command", COMMANDS, ids=" ".join)
    def test_the_help_text(self, command, capsys, monkeypatch, snapshot):
        monkeypatch.setenv("COLUMNS", "88")
        with pytest.raises(SystemExit) as raised:
            main.run([*command, "--help"])
        assert raised.value.code == 0
        assert capsys.readouterr().out == snapshot
