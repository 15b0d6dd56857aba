"""Changed settings are applied; malformed ones leave the old in force."""

import os

import pytest

from radishwind.core import ManualClock
from radishwind.platform.errors import PlatformMalformedError
from radishwind.sidecar.settings_reloader import SettingsFile
from radishwind.sidecar.settings_reloader import SettingsReloader


def decode(text):
    if "bad" in text:
        raise PlatformMalformedError(f"expected settings, got {text}")
    return text


@pytest.fixture
def path(tmp_path):
    file = tmp_path / "boot.toml"
    file.write_text("one")
    return file


def make_reloader(path, applied):
    file = SettingsFile(path, decode)
    assert file.load() == "one"
    return SettingsReloader(file, ManualClock(), applied.append)


def test_change_is_applied_once(path):
    applied = []
    reloader = make_reloader(path, applied)

    reloader.check()
    path.write_text("two")
    reloader.check()
    reloader.check()

    assert applied == ["two"]


def test_malformed_or_missing_file_changes_nothing(path):
    applied = []
    reloader = make_reloader(path, applied)

    path.write_text("bad")
    reloader.check()
    path.unlink()
    reloader.check()

    assert applied == []


def test_file_that_is_no_regular_file_neither_blocks_nor_changes_anything(
    path,
):
    applied = []
    reloader = make_reloader(path, applied)

    path.unlink()
    os.mkfifo(path)
    reloader.check()
    path.unlink()
    path.mkdir()
    reloader.check()

    assert applied == []
