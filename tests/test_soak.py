"""Short runs of the soak test; longer ones are started by hand."""

import pytest

from tests.soak.run_soak import run_soak

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

LENGTH_S = 6.0


@pytest.mark.parametrize("seed", [1, 2, 103])
async def test_guarantees_hold_under_faults(seed, tmp_path):
    assert await run_soak(seed, LENGTH_S, tmp_path) == []
