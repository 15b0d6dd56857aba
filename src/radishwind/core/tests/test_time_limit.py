"""The limit cancels late work, and nothing but that is a timeout."""

import anyio
import anyio.lowlevel
import pytest

from radishwind.core.time_limit import TimeLimit

pytestmark = pytest.mark.anyio


async def test_late_work_is_cancelled_with_a_timeout():
    with pytest.raises(TimeoutError), TimeLimit(0.0):
        await anyio.sleep_forever()


async def test_work_in_time_and_its_errors_pass():
    with TimeLimit(60.0):
        await anyio.lowlevel.checkpoint()
    with pytest.raises(KeyError), TimeLimit(60.0):
        raise KeyError


async def test_a_cancellation_from_outside_is_no_timeout():
    with anyio.CancelScope() as outer:
        outer.cancel()
        with TimeLimit(60.0):
            await anyio.sleep_forever()

    assert outer.cancelled_caught
