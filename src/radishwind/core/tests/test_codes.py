"""Result codes and the manual clock."""

import pathlib
import re

import pytest

from radishwind.core import ManualClock
from radishwind.core import ResultCode

PAGE = pathlib.Path(__file__).parents[4] / "docs" / "result-codes.md"


def test_table_lists_exactly_the_result_codes():
    rows = re.findall(r"^\| (\d{4}) \| `([a-z-]+)` \|", PAGE.read_text(), re.M)

    documented = {(int(number), name) for number, name in rows}
    assert documented == {
        (int(code), code.name.lower().replace("_", "-")) for code in ResultCode
    }


def test_codes_are_sorted():
    numbers = [int(code) for code in ResultCode]

    assert numbers == sorted(numbers)


def test_manual_clock_never_goes_backwards():
    clock = ManualClock()
    clock.advance(1.5)

    with pytest.raises(ValueError, match="expected seconds >= 0"):
        clock.advance(-1)
    assert clock.monotonic() == 1.5
