"""Each decoder returns a value within bounds or raises its one error."""

import math
import sys
import zlib

import msgspec
import pytest

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError
from radishwind.decoding import convert
from radishwind.decoding import decode_base64
from radishwind.decoding import decode_text
from radishwind.decoding import decode_toml
from radishwind.decoding import decompress
from radishwind.decoding import JsonDecoder
from radishwind.decoding import MalformedInputError
from radishwind.decoding import MsgpackDecoder
from radishwind.decoding import parse_strict_json
from radishwind.decoding import parse_toml
from radishwind.decoding.numbers import Float
from radishwind.decoding.numbers import Int
from radishwind.decoding.numbers import MAX_FLOAT
from radishwind.decoding.numbers import MAX_INT
from radishwind.decoding.numbers import NonNegativeInt

MAX_BYTES = 1 << 20
NESTED = "[" * 100_000 + "]" * 100_000


class Document(msgspec.Struct, frozen=True):
    name: str
    count: NonNegativeInt = 0
    rest: tuple[msgspec.Raw, ...] = ()


class OtherError(RadishwindError):
    code = ResultCode.PEER_MALFORMED


DOCUMENTS = JsonDecoder[Document](Document, "a document", MAX_BYTES)


@pytest.mark.parametrize(
    "text",
    [
        f'{{"more":{NESTED},"name":"n","count":3}}',
        f'{{"name":"n","count":3,"more":{{"a":[{NESTED}]}}}}',
        f'{{"name":"n","more":[{NESTED},{NESTED}],"count":3}}',
    ],
    ids=["first", "last", "twice"],
)
@pytest.mark.parametrize("kind", [bytes, str, msgspec.Raw])
def test_deeply_nested_unknown_field_is_ignored(text, kind):
    data = text if kind is str else kind(text.encode())

    assert DOCUMENTS.decode(data) == Document("n", 3)


def test_deeply_nested_unknown_field_is_ignored_on_a_deep_stack():
    text = b'{"name":"n","more":' + b"[" * 200 + b"]" * 200 + b"}"

    def decode_below(frames):
        if frames:
            return decode_below(frames - 1)
        return DOCUMENTS.decode(text)

    used = len(sys._current_frames()) + 150
    assert decode_below(sys.getrecursionlimit() - used - 200).name == "n"


def test_deeply_nested_item_hides_no_other():
    text = f'{{"name":"n","rest":[1,{NESTED},2]}}'.encode()

    first, _, last = DOCUMENTS.decode(text).rest

    assert (bytes(first), bytes(last)) == (b"1", b"2")


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b"null",
        b'{"name":' + NESTED.encode() + b"}",
        NESTED.encode(),
        b"[" * 100_000,
        b'{"name":"\xff"}',
        b'{"name":"\\ud800"}',
        '{"name":"\ud800"}',
        '{"name":"\ud800","more":' + NESTED + "}",
        b'{"name":"n","count":-1}',
        b'{"name":"n","count":9223372036854775808}',
        b'{"name":"n","count":1' + b"0" * 400 + b"}",
        b'{"name":"n","count":1' + b"0" * 6_000 + b"}",
        b'{"name":"n","count":1e400}',
        b'{"name":"n","count":NaN}',
        b'{"name":"n"}' + b" " * MAX_BYTES,
    ],
)
def test_malformed_document_is_refused_by_one_error(data):
    with pytest.raises(MalformedInputError, match="a document") as caught:
        DOCUMENTS.decode(data)

    assert caught.value.code is ResultCode.INPUT_MALFORMED
    assert len(str(caught.value)) < 600
    assert str(caught.value).isprintable()


def test_largest_integer_is_accepted():
    text = b'{"name":"n","count":9223372036854775807}'

    assert DOCUMENTS.decode(text).count == MAX_INT


def test_decoders_raise_the_error_they_were_given():
    with pytest.raises(OtherError):
        JsonDecoder[int](int, "a number", 9, OtherError).decode(b"x")
    with pytest.raises(OtherError):
        MsgpackDecoder[int](int, "a number", 9, OtherError).decode(b"")
    with pytest.raises(OtherError):
        decode_toml("=", Document, "a file", OtherError)
    with pytest.raises(OtherError):
        decode_base64("=", "bytes", OtherError)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x91" * 100_000,
        b"\x91" * 2_000 + b"\xc0",
        b"\xdd\xff\xff\xff\xff",
        b"\xa1\xff",
        b"\xcf" + b"\xff" * 8,
        b"\xc0" * (MAX_BYTES + 1),
    ],
)
def test_malformed_message_is_refused_by_one_error(data):
    for kind in (Int, str, tuple[int, ...], Document):
        decoder = MsgpackDecoder(kind, "a message", MAX_BYTES)
        with pytest.raises(MalformedInputError, match="a message"):
            decoder.decode(data)


@pytest.mark.parametrize(
    "value", [math.nan, math.inf, -math.inf, 2 * MAX_FLOAT, -2 * MAX_FLOAT]
)
def test_numbers_without_bounds_are_refused(value):
    decoder = MsgpackDecoder[float](Float, "a number", MAX_BYTES)

    with pytest.raises(MalformedInputError):
        decoder.decode(msgspec.msgpack.encode(value))


@pytest.mark.parametrize(
    "text",
    [
        "=",
        'name = "n"\nname = "m"',
        "name = 1",
        'name = "n"\ncount = 1' + "0" * 30,
        "x = " + "[" * 5_000 + "]" * 5_000,
        "x = " + "{a=" * 5_000 + "1" + "}" * 5_000,
        "x = 1" + "0" * 6_000,
        "x = 2026-13-45",
        'name = "\ud800"',
        "#" * (MAX_BYTES + 1),
    ],
)
def test_malformed_file_is_refused_by_one_error(text):
    with pytest.raises(MalformedInputError, match="a file"):
        decode_toml(text, Document, "a file")


def test_values_texts_and_streams_are_refused_by_one_error():
    packed = zlib.compress(b"x" * 100)
    assert decompress(packed, "a stream", 200) == b"x" * 100
    for act in (
        lambda: convert([], Document, "a value"),
        lambda: convert(2**70, Int, "a value"),
        lambda: decode_text(b"\xff", "a text", 9),
        lambda: decode_text(b"x" * 10, "a text", 9),
        lambda: decode_base64("\ud800", "bytes"),
        lambda: decode_base64("a", "bytes"),
        lambda: decode_base64("a-_=", "bytes"),
        lambda: decompress(b"x", "a stream", 200),
        lambda: decompress(packed, "a stream", 50),
        lambda: decompress(packed[:-1], "a stream", 200),
        lambda: parse_strict_json(b"NaN", "a file", 9, dict),
        lambda: parse_strict_json(b"\xff", "a file", 9, dict),
        lambda: parse_strict_json(b"x" * 10, "a file", 9, dict),
        lambda: parse_strict_json(NESTED.encode(), "a file", MAX_BYTES, dict),
    ):
        with pytest.raises(MalformedInputError):
            act()


@pytest.mark.parametrize("part", ["a.", "a . ", '"a".', "1.", "'a' .\t"])
def test_dotted_toml_key_that_would_block_the_event_loop_is_refused(part):
    text = part * 5_000 + "a = 1"

    with pytest.raises(MalformedInputError, match="dotted keys of 128 parts"):
        decode_toml(text, Document, "a file")


def test_toml_with_many_dots_elsewhere_is_read():
    text = (
        "# " + "." * 300 + "\n" + "x = [" + "1.5, " * 300 + "]\n"
        "y = [" + '"127.0.0.1:9", ' * 300 + "]\n" + "a.b.c = 1.5\n"
    )

    assert parse_toml(text, "a file")["a"] == {"b": {"c": 1.5}}


def test_long_nested_json_that_would_block_the_event_loop_is_refused():
    decoder = JsonDecoder(Document, "a record", 1 << 24)
    nested = b"[" * 600_000 + b"]" * 600_000

    with pytest.raises(MalformedInputError, match="nested so deeply"):
        decoder.decode(b'{"name":"n","unknown":' + nested + b"}")
