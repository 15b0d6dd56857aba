"""A node that is told to stop while it starts ends as planned."""

import asyncio
import os
import signal
import sys

import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [Place("a-1", "127.0.9.61", "a", "library")]

#: Says when it is past the first statement of the program.
SCRIPT = """
from radishwind.sidecar.startup import install_startup_signal_handlers
install_startup_signal_handlers()
print("began", flush=True)
import time
time.sleep(30)
"""


async def began():
    """Returns a process that is past its first statement."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        SCRIPT,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert (await process.stdout.readline()).strip() == b"began"
    return process


async def test_a_stop_during_the_imports_is_a_planned_one():
    process = await began()

    process.send_signal(signal.SIGTERM)

    assert await process.wait() == 0


async def test_a_reload_during_the_imports_ends_nothing():
    process = await began()

    process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0)
    process.send_signal(signal.SIGTERM)

    assert await process.wait() == 0


async def test_a_stop_at_once_after_the_start_is_a_planned_one(tmp_path):
    async with Fleet(PLACES, tmp_path) as fleet:
        fleet.configure([])
        instance = fleet.instances["a-1"]
        await instance.start_node()
        while not instance.log_path.stat().st_size:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

        instance.signal_node(signal.SIGTERM)

        assert await instance.node_ended() == 0
