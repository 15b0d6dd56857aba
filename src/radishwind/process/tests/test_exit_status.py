"""Errors are described by their code, without data of callers."""

import pytest

from radishwind.process.exit_status import describe_error
from radishwind.process.exit_status import exit_status_for
from radishwind.settings import SettingError


@pytest.mark.parametrize(
    ("exc", "status", "text"),
    [
        (SettingError("expected a port"), 78, "RW-1001: expected a port"),
        (OSError(98, "in use"), 78, "RW-1001: the system refused: "),
        (KeyError("a secret"), 70, "RW-4007: KeyError; please report it"),
    ],
)
def test_error_has_a_status_and_a_text(exc, status, text):
    code, described = describe_error(exc)

    assert exit_status_for(code) == status
    assert described.startswith(text)
    assert "secret" not in described
