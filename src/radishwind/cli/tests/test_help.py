"""Each command has a help text."""

import pytest

from radishwind.cli import main

COMMANDS = (
    *((), ("node",), ("inventory",), ("rules",), ("changes",), ("status",)),
    *((g, c) for g in ("inventory", "rules") for c in ("check", "apply")),
    *(("inventory", "show"), ("rules", "show"), ("changes", "show")),
    *(("changes", "restore"), ("report",), ("report", "burn")),
    *(("settings",), ("settings", "show"), ("settings", "reference")),
    *(("standin",), ("standin", "store"), ("standin", "backend")),
    ("standin", "load"),
    ("experiment",),
    ("explain",),
    ("losses",),
)


@pytest.mark.parametrize("names", COMMANDS, ids=" ".join)
def test_each_command_has_help(names, monkeypatch, capsys):
    monkeypatch.setattr("sys.argv", ["radishwind", *names, "--help"])

    with pytest.raises(SystemExit) as ended:
        main()

    assert ended.value.code == 0
    assert "Usage:" in capsys.readouterr().out
