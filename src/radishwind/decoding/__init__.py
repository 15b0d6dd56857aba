"""Decodes bytes that another program wrote, within bounds.

Entries of the store, settings, heartbeats, messages of other nodes and of
backend servers, operators' files: each may hold anything. Whatever is wrong
with them raises one error, `MalformedInputError`.
"""

from radishwind.decoding.errors import MalformedInputError
from radishwind.decoding.json_decoder import JsonDecoder
from radishwind.decoding.msgpack_decoder import MsgpackDecoder
from radishwind.decoding.toml_decoder import decode_toml

__all__ = [
    "JsonDecoder",
    "MalformedInputError",
    "MsgpackDecoder",
    "decode_toml",
]
