"""The table of result codes and the clock."""

import pathlib
import re

import pytest

from radishwind.core import ManualClock
from radishwind.core import ResultCode

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "result-codes.md"


def test_every_code_is_in_the_table_and_none_besides():
    rows = re.findall(r"^\| (\d{4}) \| `([a-z-]+)` \|", PAGE.read_text(), re.M)

    told = {(int(number), name) for number, name in rows}
    assert told == {
        (int(code), code.name.lower().replace("_", "-")) for code in ResultCode
    }


def test_codes_are_in_order():
    numbers = [int(code) for code in ResultCode]

    assert numbers == sorted(numbers)


def test_the_manual_clock_never_goes_back():
    clock = ManualClock()
    clock.advance(1.5)

    with pytest.raises(ValueError, match="expected seconds >= 0"):
        clock.advance(-1)
    assert clock.monotonic() == 1.5
