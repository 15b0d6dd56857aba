"""A timeout raises `TimeoutError` only when it expires."""

import anyio
import anyio.lowlevel
import pytest

from radishwind.core.time_limit import TimeLimit

pytestmark = pytest.mark.anyio


async def test_expired_limit_raises_timeout_error():
    with pytest.raises(TimeoutError), TimeLimit(0.0):
        await anyio.sleep_forever()


async def test_work_within_the_limit_and_its_errors_pass():
    with TimeLimit(60.0):
        await anyio.lowlevel.checkpoint()
    with pytest.raises(KeyError), TimeLimit(60.0):
        raise KeyError


async def test_outer_cancellation_is_not_a_timeout():
    with anyio.CancelScope() as outer:
        outer.cancel()
        with TimeLimit(60.0):
            await anyio.sleep_forever()

    assert outer.cancelled_caught
