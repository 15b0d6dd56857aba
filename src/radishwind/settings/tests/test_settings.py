"""Settings from flags and environment, and their page."""

import pathlib

import pytest

from radishwind.http import Address
from radishwind.settings import load
from radishwind.settings import NodeSettings
from radishwind.settings import SettingError
from radishwind.settings.reference import HIDDEN
from radishwind.settings.reference import reference
from radishwind.settings.reference import setting_rows

NEEDED = {
    "RADISHWIND_TARGET": "prenota-1",
    "RADISHWIND_SERVICE": "prenota",
    "RADISHWIND_FAILURE_DOMAIN": "savona",
    "RADISHWIND_STORE": "127.0.0.1:2379",
}
SECRET = "a secret of 16 bytes or more"
DOCS = pathlib.Path(__file__).parents[4] / "docs"


def test_a_flag_goes_before_the_environment():
    environ = {**NEEDED, "RADISHWIND_PEER_LISTEN": "10.0.0.1:1"}

    cfg = load(NodeSettings, {"peer_listen": "10.0.0.2:2"}, environ)

    assert cfg.peer_listen == Address("10.0.0.2", 2)
    assert cfg.target == "prenota-1"


@pytest.mark.parametrize(
    ("name", "text", "expected"),
    [
        ("stop_grace_s", "soon", "expected a number from 0 to 3600"),
        ("stop_grace_s", "nan", "expected a number from 0 to 3600"),
        ("seed", "1.5", "expected a whole number"),
        ("peer_listen", "here", "expected HOST:PORT"),
        ("peer_listen", "h:70000", "expected HOST:PORT"),
        ("http_library", "mine", "expected one of httptools, aiohttp"),
        ("metrics", "1", "expected yes or no"),
        ("target", "a b", "expected 1 to 63"),
    ],
)
def test_a_wrong_setting_says_what_was_expected_and_given(name, text, expected):
    with pytest.raises(SettingError) as info:
        load(NodeSettings, {name: text}, NEEDED)

    message = str(info.value)
    assert message.startswith("RW-1001: --" + name.replace("_", "-"))
    assert expected in message
    assert repr(text) in message


def test_a_missing_setting_is_named():
    with pytest.raises(SettingError, match="RADISHWIND_TARGET, got neither"):
        load(NodeSettings, {}, {})


def test_no_secret_is_shown():
    rows = setting_rows(NodeSettings, {}, {**NEEDED, **_secrets(SECRET)})

    values = [row.value for row in rows]
    assert SECRET not in values
    assert values.count(HIDDEN) == len(_secrets(SECRET))


def _secrets(value):
    fields = NodeSettings.__dataclass_fields__
    return {
        "RADISHWIND_" + name.upper(): value
        for name, field in fields.items()
        if field.metadata["secret"]
    }


def test_the_page_of_settings_is_the_reference():
    page = (DOCS / "settings.md").read_text()

    assert reference(NodeSettings) in page, (
        "docs/settings.md is old: paste what `radishwind settings reference` "
        "prints into it"
    )
