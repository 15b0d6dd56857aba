"""Settings from flags and environment, and their reference page."""

import pathlib

import pytest

from radishwind.http import Address
from radishwind.settings import load
from radishwind.settings import NodeSettings
from radishwind.settings import SettingError
from radishwind.settings.reference import HIDDEN_VALUE
from radishwind.settings.reference import reference_table
from radishwind.settings.reference import setting_rows

REQUIRED = {
    "RADISHWIND_TARGET": "prenota-1",
    "RADISHWIND_SERVICE": "prenota",
    "RADISHWIND_FAILURE_DOMAIN": "savona",
    "RADISHWIND_STORE": "127.0.0.1:2379",
}
SECRET = "a secret of 16 bytes or more"
DOCS = pathlib.Path(__file__).parents[4] / "docs"


def test_flag_takes_precedence_over_environment():
    environ = {**REQUIRED, "RADISHWIND_PEER_LISTEN": "10.0.0.1:1"}

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
def test_malformed_setting_error_names_expected_and_given(name, text, expected):
    with pytest.raises(SettingError) as info:
        load(NodeSettings, {name: text}, REQUIRED)

    message = str(info.value)
    assert message.startswith("RW-1001: --" + name.replace("_", "-"))
    assert expected in message
    assert repr(text) in message


def test_missing_setting_is_named():
    with pytest.raises(SettingError, match="RADISHWIND_TARGET, got neither"):
        load(NodeSettings, {}, {})


def test_secrets_are_hidden():
    rows = setting_rows(NodeSettings, {}, {**REQUIRED, **_secrets(SECRET)})

    values = [row.value for row in rows]
    assert SECRET not in values
    assert values.count(HIDDEN_VALUE) == len(_secrets(SECRET))


def _secrets(value):
    fields = NodeSettings.__dataclass_fields__
    return {
        "RADISHWIND_" + name.upper(): value
        for name, field in fields.items()
        if field.metadata["secret"]
    }


def test_settings_page_contains_reference_table():
    page = (DOCS / "settings.md").read_text()

    assert reference_table(NodeSettings) in page, (
        "docs/settings.md is outdated: replace its table by the output of "
        "`radishwind settings reference`"
    )
