"""Odd answers of the platform's store."""

from collections.abc import Callable
import enum

from aiohttp import web

from radishwind.standins.odd_records import nested_arrays
from radishwind.standins.odd_records import nested_objects
from radishwind.standins.odd_records import with_unknown_field

_LEVELS = 100_000

#: Field of an answer that states the era of the store.
_ERA = "Store-Era"


class OddAnswer(enum.StrEnum):
    """What is odd about an answer.

    The body has a nested field that no reader knows, a nested item before the
    good ones, or in all fields a nested value, a huge number or a text; or it
    is truncated, empty or no text. Or the era is no number, or a huge one.
    """

    NESTED_UNKNOWN = "nested-unknown"
    NESTED_ITEM = "nested-item"
    NESTED_FIELDS = "nested-fields"
    HUGE_NUMBERS = "huge-numbers"
    INFINITE_NUMBERS = "infinite-numbers"
    TEXTS = "texts"
    TRUNCATED = "truncated"
    EMPTY = "empty"
    NOT_UTF8 = "not-utf8"
    ERA_TEXT = "era-text"
    ERA_DIGITS = "era-digits"
    ERA_HUGE = "era-huge"


_FIELDS = ("items", "events", "key", "value", "rev", "lease", "ttl-ms")


def _fill_fields(raw: bytes) -> bytes:
    fields = (*_FIELDS, "current-rev", "created-rev", "truncated")
    pairs = [b'"%s":%s' % (name.encode(), raw) for name in fields]
    return b"{" + b",".join(pairs) + b"}"


def _insert_item(body: bytes) -> bytes:
    item = nested_objects(_LEVELS) + b","
    for start in (b'"items": [', b'"events": ['):
        # Without another item the comma would make the body malformed.
        if start + b"{" in body:
            body = body.replace(start, start + item, 1)
    return body


_BODIES: dict[OddAnswer, Callable[[bytes], bytes]] = {
    OddAnswer.NESTED_UNKNOWN: lambda body: with_unknown_field(
        body, nested_arrays(_LEVELS)
    ),
    OddAnswer.NESTED_ITEM: _insert_item,
    OddAnswer.NESTED_FIELDS: lambda _: _fill_fields(nested_arrays(_LEVELS)),
    OddAnswer.HUGE_NUMBERS: lambda _: _fill_fields(b"1" + b"0" * 400),
    OddAnswer.INFINITE_NUMBERS: lambda _: _fill_fields(b"1e400"),
    OddAnswer.TEXTS: lambda _: _fill_fields(b'"text"'),
    OddAnswer.TRUNCATED: lambda body: body[:-1],
    OddAnswer.EMPTY: lambda _: b"",
    OddAnswer.NOT_UTF8: lambda body: body + b"\xff\xfe",
}

_ERAS = {
    OddAnswer.ERA_TEXT: "one",
    OddAnswer.ERA_DIGITS: "\u00b2",
    OddAnswer.ERA_HUGE: "9" * 5_000,
}


def spoil_answer(response: web.Response, kind: str) -> web.Response:
    """Returns a response that is odd as `kind` says, see `OddAnswer`."""
    answer = OddAnswer(kind)
    if answer in _ERAS:
        response.headers[_ERA] = _ERAS[answer]
        return response
    body = response.body
    assert isinstance(body, bytes)
    return web.Response(
        status=response.status,
        headers={_ERA: response.headers.get(_ERA, "1")},
        body=_BODIES[answer](body),
        content_type="application/json",
    )
