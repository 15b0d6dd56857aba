"""Shortens JSON that is nested more deeply than a parser accepts."""

import re

#: Depth at which arrays and objects are replaced. Documents of this project
#: have at most ten levels; parsers accept several hundred.
MAX_DEPTH = 64

#: Strings, whose brackets don't count, and brackets. A string without an end
#: extends to the end of the text, so that the search takes linear time.
_STRING_OR_BRACKET = re.compile(
    rb'"(?:[^"\\]|\\.)*+(?:"|\\?\Z)|[\[\]{}]', re.DOTALL
)


def prune_deep_values(text: bytes, max_depth: int = MAX_DEPTH) -> bytes:
    """Returns `text` with `null` for each array and object below `max_depth`.

    Text that isn't JSON stays malformed, but what is replaced isn't checked.

    Args:
      text: a JSON document.
      max_depth: number of levels that are kept.
    """
    pieces: list[bytes] = []
    depth = 0
    kept_from = 0
    for match in _STRING_OR_BRACKET.finditer(text):
        token = match[0]
        if token in (b"[", b"{"):
            depth += 1
            if depth == max_depth + 1:
                pieces += (text[kept_from : match.start()], b"null")
        elif token in (b"]", b"}"):
            if depth == max_depth + 1:
                kept_from = match.end()
            depth -= 1
    if depth > max_depth:
        return b"".join(pieces[:-1])
    pieces.append(text[kept_from:])
    return b"".join(pieces)
