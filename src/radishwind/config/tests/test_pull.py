"""What a node adopts, and what peers pass on."""

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
    """Returns the snapshots that accepting `inventories` leads to."""
    found = []

    async def run():
        testbed = ConfigTestbed()
        for content in inventories:
            await testbed.apply(content)
            found.append(await testbed.loaded())

    anyio.run(run)
    return found


def passed_on(offers, held):
    """Returns what a node at `held` gets, and the bytes it received."""
    size = 0

    def ask(pull):
        nonlocal size
        offer = offers.respond(decode_pull(msgspec.json.encode(pull)))
        size += len(msgspec.json.encode(offer))
        return decode_reply(msgspec.json.encode(offer))

    catch = SnapshotBuilder(held, ask(Pull(held.revision, held.change_id)))
    while missing := catch.missing_parts():
        assert catch.add_parts(
            ask(Pull(held.revision, held.change_id, "", missing))
        )
    return catch.build(), size


def holding(snapshot):
    adopter = Adopter()
    adopter.adopt(snapshot)
    return adopter


def test_only_a_higher_revision_is_adopted():
    first, second = history(inventory(), inventory(slots=4))
    adopter = holding(second)
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
def test_a_revision_is_classified(revision, change_id, source, held, verdict):
    adopter = holding(history(inventory(), inventory(slots=4))[1])
    if change_id == "own":
        change_id = adopter.snapshot.change_id
    for _ in range(3):
        assert adopter.classify(revision, change_id, source, held) is verdict
    assert adopter.refusals == (1 if verdict is Verdict.REFUSED else 0)


def test_a_node_one_revision_behind_gets_only_the_part_that_changed():
    old, new = history(inventory(100, 8), inventory(100, 8, slots=4))
    got, size = passed_on(PullResponder(holding(new)), old)
    assert got.cfg == new.cfg
    assert size < 2_500


def test_a_new_node_gets_the_whole_in_several_answers():
    (new,) = history(inventory(400, 8))
    got, size = passed_on(PullResponder(holding(new)), Snapshot())
    assert got.cfg == new.cfg
    assert size > 300_000


def test_services_that_went_away_are_gone_at_nodes_that_lag():
    steps = history(inventory(5), inventory(4), inventory(3), inventory(6))
    adopter = holding(steps[0])
    offers = PullResponder(adopter)
    for later in steps[1:]:
        adopter.adopt(later)
        offers.respond(Pull(0, ""))
        for held in steps[:3]:
            if held.revision < later.revision:
                assert passed_on(offers, held)[0].cfg == later.cfg


def test_nothing_is_offered_to_a_node_that_is_ahead_or_level():
    old, new = history(inventory(), inventory(slots=4))
    offer = PullResponder(holding(old)).respond(
        Pull(new.revision, new.change_id)
    )
    assert (offer.revision, offer.record, offer.changed) == (1, None, ())


def test_a_difference_that_does_not_fit_is_refused():
    old, new = history(inventory(), inventory(slots=4))
    other = dataclasses.replace(
        old, refs={**old.refs, "common": "1-" + "0" * 16}
    )
    offer = PullResponder(holding(new)).respond(Pull(1, ""))
    with pytest.raises(RevisionRefusedError):
        SnapshotBuilder(other, offer)


@settings(max_examples=60)
@given(seed=st.integers(0, 2**32))
def test_any_revision_leads_to_any_later_one(seed):
    rng = random.Random(seed)
    snapshots = [Snapshot()]
    for revision in range(1, 8):
        snapshots.append(_following(snapshots[-1], revision, rng))
    adopter = Adopter()
    offers = PullResponder(adopter)
    for newest in snapshots[1:]:
        adopter.adopt(newest)
        held = rng.choice(snapshots[: newest.revision])
        assert passed_on(offers, held)[0].cfg == newest.cfg


def _following(base, revision, rng):
    content = inventory(rng.randint(1, 6), rng.randint(1, 3), rng.randint(1, 9))
    parts = split_into_parts(content, base.cfg.rules)
    change_id = records.change_id(revision, rng.getrandbits(64))
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
        digest=records.digest(refs),
    )
    assert records.advanced(base.refs, record) == refs
    return assemble(record, refs, parts)


_NEWEST = history(inventory())[0]


@given(st.data())
def test_a_damaged_answer_is_refused_or_gives_the_same_configuration(data):
    offer = PullResponder(holding(_NEWEST)).respond(Pull(0, ""))
    content = bytearray(msgspec.json.encode(offer))
    for _ in range(data.draw(st.integers(1, 3))):
        at = data.draw(st.integers(0, len(content) - 1))
        content[at] = data.draw(st.integers(32, 126))
    try:
        catch = SnapshotBuilder(Snapshot(), decode_reply(bytes(content)))
        snapshot = catch.build()
    except RevisionRefusedError:
        return
    assert snapshot.revision >= 1
    assert snapshot.refs.keys() == snapshot.parts.keys()
