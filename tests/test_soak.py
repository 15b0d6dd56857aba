"""A short play of the soak; longer ones are started by hand."""

import pytest

from tests.soak.play import play

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

LENGTH_S = 6.0


@pytest.mark.parametrize("seed", [1, 2, 103])
async def test_promises_hold_while_faults_come(seed, tmp_path):
    assert await play(seed, LENGTH_S, tmp_path) == []
