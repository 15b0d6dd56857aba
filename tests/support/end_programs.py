"""Both programs of a node as processes, to see how their processes end."""

import abc
import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
from typing import Any

import aiohttp

from radishwind.standins.platform_fleet import Fleet as PlatformFleet
from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from tests.support import processes

INVENTORY = (
    pathlib.Path(__file__).parents[2] / "examples/quickstart/inventory.json"
)

#: Mean time that the backend server takes for a request (s): long enough for
#: requests to be in progress at any moment.
WORK_S = 0.15

_CONNECTION_COUNT = 12
_LIMIT_S = 60.0


class Program(abc.ABC):
    """A node process with its backend server and its store."""

    @abc.abstractmethod
    async def start(self) -> None:
        """Starts the node and waits until it serves."""

    @abc.abstractmethod
    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, unless it has ended."""

    @property
    @abc.abstractmethod
    def exit_status(self) -> int | None:
        """The exit status; `None` while it runs."""

    @property
    @abc.abstractmethod
    def request(self) -> tuple[str, dict[str, str]]:
        """The URL and the header of a request to the node."""

    @abc.abstractmethod
    def log(self) -> str:
        """Returns what the process has written to its log."""

    async def ended(self) -> int:
        """Waits until the process has ended; returns its exit status."""
        async with asyncio.timeout(_LIMIT_S):
            while (status := self.exit_status) is None:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        return status

    def last_line(self) -> dict[str, Any]:
        """Returns the last line of the log."""
        line: dict[str, Any] = json.loads(self.log().splitlines()[-1])
        return line


class PlatformProgram(Program):
    """`python -m radishwind.sidecar`."""

    def __init__(self, fleet: PlatformFleet, python: tuple[str, ...]) -> None:
        self._fleet = fleet
        self._pidfd = -1
        self.instance = next(iter(fleet.instances.values()))
        self.instance.python = python

    async def start(self) -> None:
        self._fleet.configure([route("s", "unsafe")])
        await self._fleet.start(7, work_s=WORK_S, spell_s=0.0)
        self._pidfd = os.pidfd_open(self.instance.node_pid)
        async with asyncio.timeout(_LIMIT_S):
            while not await self._serves():  # noqa: ASYNC110
                await asyncio.sleep(0.05)

    def close(self) -> None:
        """Closes the descriptor of the process."""
        if self._pidfd >= 0:
            os.close(self._pidfd)

    async def _serves(self) -> bool:
        response = await self._fleet.ask(self.instance, "/s/x", "POST")
        return response.status == 200

    def send(self, number: signal.Signals) -> None:
        # The method of the instance would reap a process that has just ended,
        # and asyncio would not learn its exit status any more.
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self._pidfd, number)

    @property
    def exit_status(self) -> int | None:
        return self.instance.exit_status

    @property
    def request(self) -> tuple[str, dict[str, str]]:
        url = f"http://{self.instance.caller_address}/s/x"
        return url, {"Host": HOST, "Timeout-Ms": "1500"}

    def log(self) -> str:
        return self.instance.log_path.read_text()


class LibraryProgram(Program):
    """`radishwind node`."""

    def __init__(self, fleet: processes.Fleet, python: tuple[str, ...]) -> None:
        self._fleet = fleet
        self._python = python

    async def start(self) -> None:
        service_ms = str(WORK_S * 1000)
        self._fleet.start_backend("bollettino-1", "--service-ms", service_ms)
        self._fleet.start_node(
            *("bollettino-1", "bollettino", "genova-a"), python=self._python
        )
        self._fleet.apply("inventory", INVENTORY)
        url, _ = self.request
        processes.wait_until(
            lambda: processes.fetch(url, "POST")[0] == 200, url
        )

    @property
    def process(self) -> processes.Process:
        return self._fleet.processes["node bollettino-1"]

    def send(self, number: signal.Signals) -> None:
        self.process.send(number)

    @property
    def exit_status(self) -> int | None:
        return None if self.process.running() else self.process.wait()

    @property
    def request(self) -> tuple[str, dict[str, str]]:
        return self._fleet.caller_url("bollettino-1") + "/bollettino/x", {}

    def log(self) -> str:
        return self.process.log()


@contextlib.asynccontextmanager
async def open_program(
    name: str,
    host: str,
    folder: pathlib.Path,
    shell: str = "",
):
    """Yields a program, started.

    Args:
      name: `platform` or `library`.
      host: the address of the instance.
      folder: where its files are kept.
      shell: what a shell does before it executes the program.
    """
    python = ("bash", "-c", f'{shell or ":"}; exec "$0" "$@"', sys.executable)
    async with contextlib.AsyncExitStack() as stack:
        program: Program
        if name == "platform":
            places = [Place("a-1", host, "a", "s")]
            program = PlatformProgram(
                await stack.enter_async_context(PlatformFleet(places, folder)),
                python,
            )
            stack.callback(program.close)
        else:
            program = LibraryProgram(
                stack.enter_context(processes.Fleet()), python
            )
        await program.start()
        yield program


class KeptConnections:
    """Callers that send on open connections until these are closed.

    Attributes:
      answered: number of requests that got a whole response.
      lost: what happened to the others; none that was refused a connection.
    """

    def __init__(self, program: Program) -> None:
        self._url, self._headers = program.request
        self._number = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.answered = 0
        self.lost: list[str] = []

    async def __aenter__(self) -> "KeptConnections":
        self._tasks = [
            asyncio.create_task(self._send_until_closed())
            for _ in range(_CONNECTION_COUNT)
        ]
        await self.wait_answered(2 * _CONNECTION_COUNT)
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def wait_answered(self, count: int) -> None:
        """Waits until `count` more requests have been answered."""
        wanted = self.answered + count
        async with asyncio.timeout(_LIMIT_S):
            while self.answered < wanted:  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def wait_closed(self) -> None:
        """Waits until all connections are closed or refused."""
        async with asyncio.timeout(_LIMIT_S):
            await asyncio.gather(*self._tasks)

    async def _send_until_closed(self) -> None:
        connector = aiohttp.TCPConnector(limit=1)
        async with aiohttp.ClientSession(connector=connector) as session:
            while await self._send(session):
                pass

    async def _send(self, session: aiohttp.ClientSession) -> bool:
        """Sends a request; returns whether the connection stays open."""
        self._number += 1
        headers = {"Attempt-Id": f"{self._number:016x}", **self._headers}
        try:
            # Not an idempotent method, which aiohttp sends again by itself.
            async with session.post(self._url, headers=headers) as response:
                await response.read()
        except aiohttp.ClientConnectorError:
            return False
        except aiohttp.ClientError as exc:
            self.lost.append(repr(exc))
            return False
        self.answered += 1
        return response.headers.get("Connection", "").lower() != "close"
