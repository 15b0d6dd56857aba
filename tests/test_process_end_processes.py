"""How the processes of both programs end, with requests on open connections.

Guards against a signal, a shortage of the system or the reader of the log that
ends a node with the requests on it, and against an end without its cause.
"""

import asyncio
import fcntl
import json
import os
import signal
import socket
import sys

import pytest
import yarl

from tests.support.end_programs import KeptConnections
from tests.support.end_programs import open_program
from tests.support.processes import WAIT_LIMIT_S

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PROGRAMS = ["platform", "library"]

#: Signals that end a process by default, and that no node needs.
MEANINGLESS = [
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
]

#: Descriptors of a process that is short of them.
MAX_FDS = 70

#: Prints a line once the command line of a node is being imported.
IMPORTING_NODE = """
import sys, time, types
def main():
    print("began", flush=True)
    time.sleep(30)
sys.modules["radishwind.cli"] = types.SimpleNamespace(main=main)
sys.argv = ["radishwind", "node"]
import radishwind.__main__
radishwind.__main__.main()
"""


@pytest.fixture(params=PROGRAMS)
async def program(request, tmp_path):
    async with open_program(request.param, "127.0.33.1", tmp_path) as running:
        yield running


@pytest.fixture(params=PROGRAMS)
def program_name(request):
    return request.param


async def stop(program, connections):
    """Stops the node as planned; no request may be lost."""
    program.send(signal.SIGTERM)
    await connections.wait_closed()
    assert await program.ended() == 0
    assert connections.lost == []


def check_last_line(program, status, cause):
    line = program.last_line()
    assert line["text"] == "process: Ended."
    assert (line["status"], line["cause"]) == (status, cause)


async def until_logged(program, sentence):
    async with asyncio.timeout(WAIT_LIMIT_S):
        while sentence not in program.log():  # noqa: ASYNC110
            await asyncio.sleep(0.001)


async def send_until_ended(program, number):
    """Sends a signal again and again until the process has ended."""
    while program.exit_status is None:
        program.send(number)
        await asyncio.sleep(0.001)


@pytest.mark.parametrize(
    "number",
    [signal.SIGTERM, signal.SIGINT, signal.SIGQUIT, signal.SIGXCPU],
    ids=lambda number: number.name,
)
async def test_signal_to_stop_loses_no_request(program, number):
    async with KeptConnections(program) as connections:
        program.send(number)
        await connections.wait_closed()

        assert await program.ended() == 0
        assert connections.lost == []
        check_last_line(program, 0, number.name)


async def test_signals_without_meaning_end_no_node(program):
    async with KeptConnections(program) as connections:
        for number in [*MEANINGLESS, *[signal.SIGHUP] * 20]:
            program.send(number)
            await connections.wait_answered(1)
        await connections.wait_answered(24)
        assert program.exit_status is None

        await stop(program, connections)


@pytest.mark.parametrize(
    "number",
    [signal.SIGTERM, signal.SIGHUP, signal.SIGINT, signal.SIGUSR1],
    ids=lambda number: number.name,
)
async def test_signals_during_a_stop_leave_it_a_success(program, number):
    async with KeptConnections(program) as connections:
        program.send(signal.SIGTERM)
        # Of signals that are pending together, no order is kept.
        await until_logged(program, "Received a signal to stop.")
        await send_until_ended(program, number)
        await connections.wait_closed()

        assert await program.ended() == 0
        assert connections.lost == []
        check_last_line(program, 0, "SIGTERM")


async def start_importing_node():
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        IMPORTING_NODE,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
    )
    assert (await process.stdout.readline()).strip() == b"began"
    return process


async def test_signals_during_the_imports_of_the_command_end_it_with_success():
    process = await start_importing_node()

    for number in (signal.SIGHUP, *MEANINGLESS):
        process.send_signal(number)
    process.send_signal(signal.SIGTERM)

    assert await process.wait() == 0
    line = json.loads(await process.stderr.readline())
    assert (line["status"], line["cause"]) == (0, "SIGTERM")


def open_log_pipe(folder):
    """Returns the path of a pipe, and a descriptor that holds it open."""
    path = folder / "log"
    os.mkfifo(path)
    return path, os.open(path, os.O_RDWR | os.O_NONBLOCK)


async def test_stalled_reader_of_the_log_stops_no_node(program_name, tmp_path):
    path, fd = open_log_pipe(tmp_path)
    fcntl.fcntl(fd, fcntl.F_SETPIPE_SZ, 4096)
    os.write(fd, b"x" * 4096)
    shell = f'exec >"{path}" 2>&1'
    try:
        async with (
            open_program(
                program_name, "127.0.33.2", tmp_path, shell
            ) as program,
            KeptConnections(program) as connections,
        ):
            await connections.wait_answered(24)
            await stop(program, connections)
    finally:
        os.close(fd)


async def test_closed_reader_of_the_log_stops_no_node(program_name, tmp_path):
    path, fd = open_log_pipe(tmp_path)
    shell = f'exec >"{path}" 2>&1'
    async with (
        open_program(program_name, "127.0.33.3", tmp_path, shell) as program,
        KeptConnections(program) as connections,
    ):
        os.close(fd)
        program.send(signal.SIGHUP)
        await connections.wait_answered(24)
        await stop(program, connections)


async def test_closed_standard_descriptors_end_no_node(program_name, tmp_path):
    async with (
        open_program(
            *(program_name, "127.0.33.7", tmp_path), "exec <&- >&- 2>&-"
        ) as program,
        KeptConnections(program) as connections,
    ):
        program.send(signal.SIGHUP)
        await connections.wait_answered(24)
        await stop(program, connections)


async def test_shortage_of_descriptors_ends_no_node(program_name, tmp_path):
    async with (
        open_program(
            *(program_name, "127.0.33.6", tmp_path), f"ulimit -n {MAX_FDS}"
        ) as program,
        KeptConnections(program) as connections,
    ):
        url = yarl.URL(program.request[0])
        idle = [socket.socket() for _ in range(2 * MAX_FDS)]
        for sock in idle:
            sock.setblocking(False)
            sock.connect_ex((url.host, url.port))
        program.send(signal.SIGHUP)
        await connections.wait_answered(200)
        for sock in idle:
            sock.close()
        await connections.wait_answered(24)
        await stop(program, connections)


async def test_crash_leaves_a_traceback(program):
    program.send(signal.SIGABRT)

    assert await program.ended() == -signal.SIGABRT
    assert "Fatal Python error: Aborted" in program.log()


async def run_second_node(program):
    """Runs a node on the ports of the one that runs, until it has ended."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "radishwind.sidecar"),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
        env={
            **os.environ,
            "PYTHONPATH": os.pathsep.join(sys.path),
            "RADISHWIND_BOOT": str(program.instance.settings_path),
        },
    )
    stdout, stderr = await process.communicate()
    return process.returncode, json.loads(stdout.splitlines()[-1]), stderr


async def test_error_of_a_node_is_its_last_line(tmp_path):
    async with open_program("platform", "127.0.33.4", tmp_path) as program:
        status, line, stderr = await run_second_node(program)

    assert status == 70
    assert line["text"] == "process: Ended."
    assert (line["status"], line["cause"]) == (70, "OSError")
    assert "at" in line
    assert b"Traceback" in stderr


async def test_invalid_settings_are_the_last_line(tmp_path):
    async with open_program("platform", "127.0.33.5", tmp_path) as program:
        program.instance.settings_path.write_text("node = ")
        status, line, stderr = await run_second_node(program)

    assert status == 78
    assert line["text"] == "process: Ended."
    assert (line["status"], line["cause"]) == (78, "PlatformMalformedError")
    assert stderr.startswith(b"radishwind: RW-")
