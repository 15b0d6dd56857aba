"""Sizes of the largest inputs that are decoded."""

#: A value in the store (bytes). Values of this project take 4 KiB at most,
#: except for configurations.
MAX_VALUE_BYTES = 1 << 20

#: The payload of a UDP datagram (bytes).
MAX_DATAGRAM_BYTES = 65_535

#: The value of a rumor (bytes): 512 characters of UTF-8.
MAX_RUMOR_VALUE_BYTES = 4 * 512

#: A header field or a line of a log (bytes).
MAX_LINE_BYTES = 1 << 20
