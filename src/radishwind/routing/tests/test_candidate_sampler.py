import random

from hypothesis import given
from hypothesis import strategies as st

from radishwind.http.types import Address
from radishwind.membership.directory import Member
from radishwind.routing.candidate_sampler import CandidateSampler
from radishwind.routing.candidate_sampler import SAMPLES_PER_TIER

DISTANCES_S = {"a": 0.0, "b": 0.001, "c": 0.002, "d": 0.02}


@given(
    domains=st.lists(st.sampled_from(sorted(DISTANCES_S)), max_size=30),
    own=st.integers(0, 40),
    excluded=st.sets(st.integers(0, 30), max_size=6),
    seed=st.integers(0, 100),
)
def test_samples_are_few_distinct_and_not_excluded(
    domains, own, excluded, seed
):
    members = tuple(
        Member(f"t{i}", "s", domain, Address("127.0.0.1", 1))
        for i, domain in enumerate(domains)
    )
    exclude = frozenset(f"t{i}" for i in excluded)
    sampler = CandidateSampler()
    sampler.update(members, f"t{own}", DISTANCES_S.__getitem__)

    sampled = sampler.sample(random.Random(seed), exclude)
    scanned = sampler.scan(random.Random(seed), exclude)

    assert len(sampled) <= sum(SAMPLES_PER_TIER)
    assert len({m.name for m in sampled}) == len(sampled)
    assert not exclude & {m.name for m in (*sampled, *scanned)}
    # Any remaining member is found by the sample or by the scan after it.
    left = {m.name for m in members} - exclude
    assert bool(left) == bool(sampled or scanned)
