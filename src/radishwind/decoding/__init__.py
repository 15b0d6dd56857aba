"""Decodes bytes that another program wrote, within bounds.

Entries of the store, settings, heartbeats, messages of other nodes and of
backend servers, operators' files: each may hold anything. Whatever is wrong
with them raises one error, `MalformedInputError` or the error that the decoder
was given in its place.
"""

from radishwind.decoding.compressed import decompress
from radishwind.decoding.errors import MalformedInputError
from radishwind.decoding.json_decoder import JsonDecoder
from radishwind.decoding.msgpack_decoder import MsgpackDecoder
from radishwind.decoding.strict_json import parse_strict_json
from radishwind.decoding.text_decoders import decode_base64
from radishwind.decoding.text_decoders import decode_text
from radishwind.decoding.toml_decoder import decode_toml
from radishwind.decoding.toml_decoder import parse_toml
from radishwind.decoding.values import convert

__all__ = [
    "JsonDecoder",
    "MalformedInputError",
    "MsgpackDecoder",
    "convert",
    "decode_base64",
    "decode_text",
    "decode_toml",
    "decompress",
    "parse_strict_json",
    "parse_toml",
]
