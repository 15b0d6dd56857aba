"""Text that parsers refuse for its depth is shortened, other text is not."""

import json

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from radishwind.decoding.json_pruning import MAX_DEPTH
from radishwind.decoding.json_pruning import prune_deep_values

JSON = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-(2**63), 2**63),
        st.text(alphabet='[]{}"\\,:aü\u2028', max_size=8),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.text(alphabet='[]{}"\\a', max_size=4), inner, max_size=3
        ),
    ),
    max_leaves=40,
)


def pruned_value(value, depth):
    """Returns what pruning must make of `value`, by its definition."""
    if not isinstance(value, list | dict):
        return value
    if not depth:
        return None
    if isinstance(value, list):
        return [pruned_value(item, depth - 1) for item in value]
    return {key: pruned_value(item, depth - 1) for key, item in value.items()}


@given(JSON, st.integers(0, 6), st.booleans())
def test_replaces_exactly_the_values_below_the_depth(value, depth, is_ascii):
    text = json.dumps(value, ensure_ascii=is_ascii).encode()

    pruned = prune_deep_values(text, depth)

    assert json.loads(pruned) == pruned_value(value, depth)


@given(st.binary(max_size=60))
def test_returns_any_other_text_without_an_error(text):
    prune_deep_values(text, 2)


@given(JSON, st.integers(0, 200), st.integers(0, 4))
def test_cut_text_stays_malformed(value, end, depth):
    text = json.dumps([value]).encode()
    cut = text[: min(end, len(text) - 1)]

    with pytest.raises(json.JSONDecodeError):
        json.loads(prune_deep_values(cut, depth))


@pytest.mark.parametrize(
    "text",
    [
        b"[" * 100_000 + b"]" * 100_000,
        b'{"a":' * 100_000 + b"1" + b"}" * 100_000,
        b'["' + b"[" * 100_000 + b'"]',
        b'["' + b'\\"[' * 100_000 + b'"]',
    ],
    ids=["arrays", "objects", "string", "escapes"],
)
def test_parser_accepts_what_is_left(text):
    msgspec.json.decode(prune_deep_values(text))


def test_keeps_the_number_of_levels_that_it_states():
    levels = b"[" * MAX_DEPTH + b"]" * MAX_DEPTH

    assert prune_deep_values(levels) == levels
    assert prune_deep_values(b"[" + levels + b"]").count(b"[") == MAX_DEPTH
