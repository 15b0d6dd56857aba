"""Parsers of settings; a `ValueError` says what was expected."""

from collections.abc import Callable
import re

from radishwind.http.types import Address

#: Bounds of the length of a peer key.
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")


def address(text: str) -> Address:
    """Parses `HOST:PORT`."""
    return Address.parse(text)


def optional_address(text: str) -> Address | None:
    """Parses `HOST:PORT`, or `None` if empty."""
    return Address.parse(text) if text else None


def addresses(text: str) -> tuple[Address, ...]:
    """Parses a comma-separated list of `HOST:PORT`."""
    return tuple(Address.parse(part) for part in text.split(",") if part)


def peer_keys(text: str) -> tuple[bytes, ...]:
    """Parses keys separated by commas or newlines; the first one signs."""
    parts = text.replace("\n", ",").split(",")
    keys = tuple(part.strip().encode() for part in parts if part.strip())
    for key in keys:
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            raise ValueError(
                f"expected keys of {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes, "
                f"got one of {len(key)}"
            )
    return keys


def name(text: str) -> str:
    """Parses a name in the syntax of the inventory."""
    if not _NAME.fullmatch(text):
        raise ValueError(
            "expected 1 to 63 letters, digits, dots, dashes or underscores, "
            "a letter or digit first"
        )
    return text


def number(low: float, high: float) -> Callable[[str], float]:
    """Returns a parser of numbers from `low` to `high`, inclusive."""

    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            raise ValueError(
                f"expected a number from {low} to {high}"
            ) from None
        if not low <= value <= high:
            raise ValueError(f"expected a number from {low} to {high}")
        return value

    return parse


def integer(low: int, high: int) -> Callable[[str], int]:
    """Returns a parser of integers from `low` to `high`, inclusive."""

    def parse(text: str) -> int:
        if not re.fullmatch(r"-?[0-9]{1,18}", text):
            raise ValueError(f"expected a whole number from {low} to {high}")
        value = int(text)
        if not low <= value <= high:
            raise ValueError(f"expected a whole number from {low} to {high}")
        return value

    return parse


def yes_or_no(text: str) -> bool:
    """Parses `yes` or `no`."""
    if text not in ("yes", "no"):
        raise ValueError("expected yes or no")
    return text == "yes"
