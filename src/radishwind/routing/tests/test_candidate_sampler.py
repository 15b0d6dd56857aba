import random

from hypothesis import given
from hypothesis import strategies as st

from radishwind.http.types import Address
from radishwind.membership.directory import Member
from radishwind.routing.candidate_sampler import CandidateSampler
from radishwind.routing.candidate_sampler import DRAWS

DISTANCES_S = {"a": 0.0, "b": 0.001, "c": 0.002, "d": 0.02}


@given(
    domains=st.lists(st.sampled_from(sorted(DISTANCES_S)), max_size=30),
    own=st.integers(0, 40),
    excluded=st.sets(st.integers(0, 30), max_size=6),
    seed=st.integers(0, 100),
)
def test_draws_are_few_different_and_not_excluded(domains, own, excluded, seed):
    members = tuple(
        Member(f"t{i}", "s", domain, Address("127.0.0.1", 1))
        for i, domain in enumerate(domains)
    )
    exclude = frozenset(f"t{i}" for i in excluded)
    candidates = CandidateSampler()
    candidates.update(members, f"t{own}", DISTANCES_S.__getitem__)

    drawn = candidates.draw(random.Random(seed), exclude)
    turn = candidates.scan(random.Random(seed), exclude)

    assert len(drawn) <= sum(DRAWS)
    assert len({m.name for m in drawn}) == len(drawn)
    assert not exclude & {m.name for m in (*drawn, *turn)}
    # Whoever is left is found: by the draw or by the turn after it.
    left = {m.name for m in members} - exclude
    assert bool(left) == bool(drawn or turn)
