"""Leaves malformed entries out of a gossip message, so that the others count.

A message carries records and rumors of many members. One that this node can't
read, such as one of a newer version with wider bounds, is left out.
"""

from collections.abc import Callable
from typing import Any
from typing import TypeAlias

from radishwind.decoding import convert
from radishwind.decoding import MalformedInputError
from radishwind.membership.records import MemberRecord
from radishwind.membership.records import Rumor

#: Called with the reason why an entry is left out.
MalformedEntryCallback: TypeAlias = Callable[[str], None]

#: Index of the member records and of the rumors in a message, an array that
#: begins with its tag.
_MEMBERS_INDEX = 3
_RUMORS_INDEX = 4


def without_malformed_entries(
    message: Any, on_malformed: MalformedEntryCallback
) -> Any:
    """Returns `message` without the entries that aren't records or rumors.

    Args:
      message: builtin types of a message, which may be none.
      on_malformed: called with the reason why an entry is left out.
    """
    if not isinstance(message, list):
        return message
    kept = list(message)
    for index, kind in (
        (_MEMBERS_INDEX, MemberRecord),
        (_RUMORS_INDEX, Rumor),
    ):
        if index < len(kept) and isinstance(kept[index], list):
            kept[index] = [e for e in kept[index] if _is(e, kind, on_malformed)]
    return kept


def ignore_malformed_entry(reason: str) -> None:
    """Ignores the reason why an entry is left out."""


def _is(
    entry: Any,
    kind: type[MemberRecord] | type[Rumor],
    on_malformed: MalformedEntryCallback,
) -> bool:
    """Returns whether `entry` is of the type `kind`."""
    try:
        convert(entry, kind, "a member record or a rumor")
    except MalformedInputError as exc:
        on_malformed(exc.args[0])
        return False
    return True
