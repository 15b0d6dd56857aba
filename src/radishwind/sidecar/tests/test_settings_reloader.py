"""Changed settings are taken; malformed ones leave the old in force."""

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
    made = tmp_path / "boot.toml"
    made.write_text("one")
    return made


def follower(path, taken):
    file = SettingsFile(path, decode)
    assert file.load() == "one"
    return SettingsReloader(file, ManualClock(), taken.append)


def test_a_change_is_taken_once(path):
    taken = []
    made = follower(path, taken)

    made.look()
    path.write_text("two")
    made.look()
    made.look()

    assert taken == ["two"]


def test_a_malformed_or_missing_file_changes_nothing(path):
    taken = []
    made = follower(path, taken)

    path.write_text("bad")
    made.look()
    path.unlink()
    made.look()

    assert taken == []
