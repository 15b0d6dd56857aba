"""Tests for what a node adopts, and for pulls between peers."""

import dataclasses
import random

import anyio
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest
from tests.support.configs import ConfigTestbed
from tests.support.configs import inventory

from radishwind.config import records
from radishwind.config.adopter import Adopter
from radishwind.config.adopter import Source
from radishwind.config.adopter import Verdict
from radishwind.config.errors import RevisionRefusedError
from radishwind.config.parts import assemble
from radishwind.config.parts import Snapshot
from radishwind.config.parts import split_into_parts
from radishwind.config.pull import decode_pull
from radishwind.config.pull import decode_reply
from radishwind.config.pull import Pull
from radishwind.config.pull import PullResponder
from radishwind.config.pull import SnapshotBuilder
from radishwind.config.records import ChangeRecord
from radishwind.config.records import PartRef


def history(*inventories):
    """Returns the snapshots after accepting each of `inventories`."""
    snapshots = []

    async def run():
        testbed = ConfigTestbed()
        for content in inventories:
            await testbed.apply(content)
            snapshots.append(await testbed.load_newest())

    anyio.run(run)
    return snapshots


def pull_all(responder, held):
    """Returns what a node at `held` pulls, and the bytes it received."""
    size = 0

    def send(pull):
        nonlocal size
        reply = responder.respond(decode_pull(msgspec.json.encode(pull)))
        size += len(msgspec.json.encode(reply))
        return decode_reply(msgspec.json.encode(reply))

    builder = SnapshotBuilder(held, send(Pull(held.revision, held.change_id)))
    while missing := builder.missing_parts():
        assert builder.add_parts(
            send(Pull(held.revision, held.change_id, "", missing))
        )
    return builder.build(), size


def adopter_at(snapshot):
    adopter = Adopter()
    adopter.adopt(snapshot)
    return adopter


def test_only_higher_revision_is_adopted():
    first, second = history(inventory(), inventory(slots=4))
    adopter = adopter_at(second)
    assert not adopter.adopt(first)
    assert not adopter.adopt(second)
    assert adopter.snapshot is second


@pytest.mark.parametrize(
    ("revision", "change_id", "source", "held", "verdict"),
    [
        (3, "3-b", Source.STORE, 2, Verdict.NEWER),
        (2, "own", Source.STORE, 2, Verdict.SAME),
        (2, "2-b", Source.PEER, 2, Verdict.REFUSED),
        (1, "1-b", Source.PEER, 2, Verdict.OLDER),
        (1, "1-b", Source.STORE, 2, Verdict.REFUSED),
        (0, "", Source.STORE, 2, Verdict.REFUSED),
        (1, "1-b", Source.STORE, 1, Verdict.OLDER),
    ],
)
def test_revision_is_classified(revision, change_id, source, held, verdict):
    adopter = adopter_at(history(inventory(), inventory(slots=4))[1])
    if change_id == "own":
        change_id = adopter.snapshot.change_id
    for _ in range(3):
        assert adopter.classify(revision, change_id, source, held) is verdict
    assert adopter.refusals == (1 if verdict is Verdict.REFUSED else 0)


def test_node_one_revision_behind_gets_only_the_changed_part():
    old, new = history(inventory(100, 8), inventory(100, 8, slots=4))
    got, size = pull_all(PullResponder(adopter_at(new)), old)
    assert got.cfg == new.cfg
    assert size < 2_500


def test_new_node_gets_all_parts_in_several_replies():
    (new,) = history(inventory(400, 8))
    got, size = pull_all(PullResponder(adopter_at(new)), Snapshot())
    assert got.cfg == new.cfg
    assert size > 300_000


def test_removed_services_are_removed_on_lagging_nodes():
    steps = history(inventory(5), inventory(4), inventory(3), inventory(6))
    adopter = adopter_at(steps[0])
    responder = PullResponder(adopter)
    for later in steps[1:]:
        adopter.adopt(later)
        responder.respond(Pull(0, ""))
        for held in steps[:3]:
            if held.revision < later.revision:
                assert pull_all(responder, held)[0].cfg == later.cfg


def test_node_that_is_ahead_gets_no_record():
    old, new = history(inventory(), inventory(slots=4))
    reply = PullResponder(adopter_at(old)).respond(
        Pull(new.revision, new.change_id)
    )
    assert (reply.revision, reply.record, reply.changed) == (1, None, ())


def test_difference_that_does_not_apply_is_refused():
    old, new = history(inventory(), inventory(slots=4))
    other = dataclasses.replace(
        old, refs={**old.refs, "common": "1-" + "0" * 16}
    )
    reply = PullResponder(adopter_at(new)).respond(Pull(1, ""))
    with pytest.raises(RevisionRefusedError):
        SnapshotBuilder(other, reply)


@settings(max_examples=60)
@given(seed=st.integers(0, 2**32))
def test_node_at_any_revision_can_pull_any_later_one(seed):
    rng = random.Random(seed)
    snapshots = [Snapshot()]
    for revision in range(1, 8):
        snapshots.append(_next_snapshot(snapshots[-1], revision, rng))
    adopter = Adopter()
    responder = PullResponder(adopter)
    for newest in snapshots[1:]:
        adopter.adopt(newest)
        held = rng.choice(snapshots[: newest.revision])
        assert pull_all(responder, held)[0].cfg == newest.cfg


def _next_snapshot(base, revision, rng):
    content = inventory(rng.randint(1, 6), rng.randint(1, 3), rng.randint(1, 9))
    parts = split_into_parts(content, base.cfg.rules)
    change_id = records.make_change_id(revision, rng.getrandbits(64))
    refs = {
        n: base.refs[n] if base.parts.get(n) == p else change_id
        for n, p in parts.items()
    }
    record = ChangeRecord(
        revision=revision,
        change_id=change_id,
        base_change_id=base.change_id,
        operator="ada",
        at=ConfigTestbed().clock.now(),
        what="inventory",
        lines=(),
        more_lines=0,
        changed=tuple(PartRef(n, v) for n, v in refs.items() if v == change_id),
        replaced=tuple(
            PartRef(n, v) for n, v in base.refs.items() if refs.get(n) != v
        ),
        digest=records.manifest_digest(refs),
    )
    assert records.apply_change(base.refs, record) == refs
    return assemble(record, refs, parts)


_NEWEST = history(inventory())[0]


@given(st.data())
def test_corrupted_reply_is_refused_or_gives_a_complete_configuration(data):
    reply = PullResponder(adopter_at(_NEWEST)).respond(Pull(0, ""))
    content = bytearray(msgspec.json.encode(reply))
    for _ in range(data.draw(st.integers(1, 3))):
        index = data.draw(st.integers(0, len(content) - 1))
        content[index] = data.draw(st.integers(32, 126))
    try:
        builder = SnapshotBuilder(Snapshot(), decode_reply(bytes(content)))
        snapshot = builder.build()
    except RevisionRefusedError:
        return
    assert snapshot.revision >= 1
    assert snapshot.refs.keys() == snapshot.parts.keys()
