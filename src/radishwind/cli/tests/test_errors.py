"""Each command ends a fault with one line: the code, expected and got."""

import pathlib

import pytest

from radishwind.cli import main

QUIET = "127.0.0.1:1"  # nothing listens on port 1
FILE = "examples/quickstart/inventory.json"
NODE = ("node", "--target", "a", "--service", "b", "--failure-domain", "c")
FOREIGN = "203.0.113.1:1"  # no address of this machine (RFC 5737)

CASES = [
    (("inventory", "check", "/nonexistent"), 78, 1001, "readable file"),
    (("inventory", "check", "/"), 78, 1001, "readable file"),
    (("rules", "check", "/nonexistent"), 78, 1001, "readable file"),
    (("inventory", "apply", "--store", QUIET, FILE), 69, 5001, QUIET),
    (("inventory", "apply", "--store", "x", FILE), 78, 1001, "got 'x'"),
    (("inventory", "apply", FILE), 78, 1001, "--store"),
    (("inventory", "show"), 78, 1001, "got neither"),
    (("rules", "show", "--admin", QUIET), 69, 6006, QUIET),
    (("rules", "show", "--admin", "x"), 78, 1001, "got 'x'"),
    (("changes", "show", "--store", QUIET), 69, 5001, QUIET),
    (("changes", "show", "--store", QUIET, "zzz"), 78, 1001, "got 'zzz'"),
    (
        ("changes", "restore", "--store", QUIET, "--admin", QUIET),
        *(69, 6006, QUIET),
    ),
    (("status", "--admin", QUIET), 69, 6006, QUIET),
    (("status", "--admin", "1.2.3.4:99999"), 78, 1001, "HOST:PORT"),
    (("report", "burn", "--admin", QUIET), 69, 6006, QUIET),
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
    ((*NODE, "--store", QUIET, "--seed", "x"), 78, 1001, "given 'x'"),
    ((*NODE, "--store", QUIET, "--no-such", "x"), 78, 1001, "--no-such"),
    (("no-such",), 78, 1001, "no-such"),
]


@pytest.mark.parametrize(("arguments", "exit_code", "code", "text"), CASES)
def test_a_fault_is_told_in_one_line(
    arguments, exit_code, code, text, monkeypatch, capsys
):
    monkeypatch.chdir(pathlib.Path(__file__).parents[4])
    monkeypatch.setattr("sys.argv", ["radishwind", *arguments])

    with pytest.raises(SystemExit) as ended:
        main()

    errors = capsys.readouterr().err.splitlines()
    assert ended.value.code == exit_code
    assert len(errors) == 1
    assert errors[0].startswith(f"radishwind: RW-{code}: ")
    assert text in errors[0]


def test_a_secret_is_shown_neither_in_an_error_nor_by_settings(
    monkeypatch, capsys
):
    words = ("--target", "a", "--service", "b", "--failure-domain", "c")
    words += ("--store", QUIET, "--peer-key")
    for name, key in (("node", "short-key"), ("settings", "long-key-" * 3)):
        argv = ["radishwind", name, *words, key]
        argv[2:2] = ["show"] * (name == "settings")
        monkeypatch.setattr("sys.argv", argv)
        with pytest.raises(SystemExit):
            main()

    told = "".join(capsys.readouterr())
    assert "RW-1001: --peer-key: " in told
    assert "--peer-key = " in told
    assert "t-key" not in told
    assert "long-key" not in told


def test_an_error_of_the_program_is_told_without_a_traceback(
    monkeypatch, capsys
):
    def broken(**_):
        raise ZeroDivisionError("a secret")

    monkeypatch.setattr("radishwind.cli.app.app", broken)

    with pytest.raises(SystemExit) as ended:
        main()

    (line,) = capsys.readouterr().err.splitlines()
    assert ended.value.code == 70
    assert line.startswith("radishwind: RW-4007: ZeroDivisionError at broken")
    assert "secret" not in line
