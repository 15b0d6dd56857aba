"""Signals during the start of a node.

Guards against a SIGTERM that does not end in a planned stop, or a SIGHUP that
ends the node, since it arrives while the program is still importing.
"""

import asyncio
import os
import signal
import sys

import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import Place

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [Place("a-1", "127.0.9.61", "a", "library")]

#: Prints a line once the startup handlers are installed.
PROGRAM = """
from radishwind.sidecar.startup import install_startup_signal_handlers
install_startup_signal_handlers()
print("began", flush=True)
import time
time.sleep(30)
"""


async def start_process():
    """Starts a process and waits until it has installed its handlers."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        PROGRAM,
        stdout=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert (await process.stdout.readline()).strip() == b"began"
    return process


async def test_sigterm_during_the_imports_exits_with_success():
    process = await start_process()

    process.send_signal(signal.SIGTERM)

    assert await process.wait() == 0


async def test_sighup_during_the_imports_is_ignored():
    process = await start_process()

    process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0)
    process.send_signal(signal.SIGTERM)

    assert await process.wait() == 0


async def test_sigterm_right_after_the_start_exits_with_success(tmp_path):
    async with Fleet(PLACES, tmp_path) as fleet:
        fleet.configure([])
        instance = fleet.instances["a-1"]
        await instance.start_node()
        while not instance.log_path.stat().st_size:  # noqa: ASYNC110
            await asyncio.sleep(0.01)

        instance.signal_node(signal.SIGTERM)

        assert await instance.node_ended() == 0
