"""Errors of each command: one line with the code, what was expected and got."""

import pathlib

import pytest

from radishwind.cli import main

CLOSED = "127.0.0.1:1"  # nothing listens at port 1
FILE = "examples/quickstart/inventory.json"
NODE = ("node", "--target", "a", "--service", "b", "--failure-domain", "c")
FOREIGN = "203.0.113.1:1"  # not an address of this machine (RFC 5737)

CASES = [
    (("inventory", "check", "/nonexistent"), 78, 1001, "readable file"),
    (("inventory", "check", "/"), 78, 1001, "readable file"),
    (("rules", "check", "/nonexistent"), 78, 1001, "readable file"),
    (("inventory", "apply", "--store", CLOSED, FILE), 69, 5001, CLOSED),
    (("inventory", "apply", "--store", "x", FILE), 78, 1001, "got 'x'"),
    (("inventory", "apply", FILE), 78, 1001, "--store"),
    (("inventory", "show"), 78, 1001, "got neither"),
    (("rules", "show", "--admin", CLOSED), 69, 6006, CLOSED),
    (("rules", "show", "--admin", "x"), 78, 1001, "got 'x'"),
    (("changes", "show", "--store", CLOSED), 69, 5001, CLOSED),
    (("changes", "show", "--store", CLOSED, "zzz"), 78, 1001, "got 'zzz'"),
    (
        ("changes", "restore", "--store", CLOSED, "--admin", CLOSED),
        *(69, 6006, CLOSED),
    ),
    (("status", "--admin", CLOSED), 69, 6006, CLOSED),
    (("status", "--admin", "1.2.3.4:99999"), 78, 1001, "HOST:PORT"),
    (("report", "burn", "--admin", CLOSED), 69, 6006, CLOSED),
    (("report", "burn", "--admin", "x"), 78, 1001, "got 'x'"),
    (("report", "burn", "--format", "x"), 78, 1001, "'x'"),
    (("settings", "show"), 78, 1001, "--target"),
    (("standin", "store", "--listen", "x"), 78, 1001, "got 'x'"),
    (("standin", "store", "--listen", FOREIGN), 78, 1001, "refused"),
    (
        ("standin", "backend", "--name", "a", "--listen", "x"),
        *(78, 1001, "got 'x'"),
    ),
    (("standin", "load", "--entry", "x"), 78, 1001, "got 'x'"),
    ((*NODE, "--store", CLOSED, "--seed", "x"), 78, 1001, "given 'x'"),
    ((*NODE, "--store", CLOSED, "--no-such", "x"), 78, 1001, "--no-such"),
    (("no-such",), 78, 1001, "no-such"),
]


@pytest.mark.parametrize(("arguments", "exit_code", "code", "text"), CASES)
def test_error_prints_one_line_and_sets_exit_code(
    arguments, exit_code, code, text, monkeypatch, capsys
):
    monkeypatch.chdir(pathlib.Path(__file__).parents[4])
    monkeypatch.setattr("sys.argv", ["radishwind", *arguments])

    with pytest.raises(SystemExit) as exit_info:
        main()

    errors = capsys.readouterr().err.splitlines()
    assert exit_info.value.code == exit_code
    assert len(errors) == 1
    assert errors[0].startswith(f"radishwind: RW-{code}: ")
    assert text in errors[0]


def test_secret_appears_neither_in_errors_nor_in_settings(monkeypatch, capsys):
    arguments = ("--target", "a", "--service", "b", "--failure-domain", "c")
    arguments += ("--store", CLOSED, "--peer-key")
    for name, key in (("node", "short-key"), ("settings", "long-key-" * 3)):
        argv = ["radishwind", name, *arguments, key]
        argv[2:2] = ["show"] * (name == "settings")
        monkeypatch.setattr("sys.argv", argv)
        with pytest.raises(SystemExit):
            main()

    output = "".join(capsys.readouterr())
    assert "RW-1001: --peer-key: " in output
    assert "--peer-key = " in output
    assert "t-key" not in output
    assert "long-key" not in output


def test_internal_error_prints_no_traceback(monkeypatch, capsys):
    def broken(**_):
        raise ZeroDivisionError("a secret")

    monkeypatch.setattr("radishwind.cli.app.app", broken)

    with pytest.raises(SystemExit) as exit_info:
        main()

    (line,) = capsys.readouterr().err.splitlines()
    assert exit_info.value.code == 70
    assert line.startswith("radishwind: RW-4007: ZeroDivisionError at broken")
    assert "secret" not in line
