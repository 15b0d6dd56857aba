"""A request that crashes its server, at a service with one server.

Clients send the same request again and again, at any machine. The server
crashes each time that it begins to run it, and is back after some seconds.
"""

import asyncio
import collections
import contextlib
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))

import lab2  # noqa: E402

PATH = "/solo/unsafe/x"

#: Pause between two of the requests, and for how long they come (s).
PAUSE_S = 1.0
LOAD_S = 60.0
TIMEOUT_MS = 3_000

#: The server crashes after it has worked this long, and is back later (s).
CRASH_AFTER_S = 0.02
BACK_AFTER_S = 2.0

#: The bounds of the rule.
STABLE_S = 3.0
MAX_RETRIES = 3


class CrashingServer:
    """Lets the server of a machine crash at each request, if it is to.

    Attributes:
      arrivals: when the requests arrived (monotonic s).
      crashes: when the server crashed (monotonic s).
    """

    def __init__(self, machine: lab2.Machine, record: lab2.Record) -> None:
        self._machine = machine
        self._record = record
        self._restarts: set[asyncio.Task[None]] = set()
        self.arrivals: list[float] = []
        self.crashes: list[float] = []

    async def __call__(
        self,
        server: lab2.Server,
        message: lab2.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Begins to run a request."""
        self.arrivals.append(time.monotonic())
        if not lab2.has_trouble():
            return await server.run(message, reader, writer)
        await lab2.read_body(reader, message)
        server.note(message, has_run=True)
        await asyncio.sleep(CRASH_AFTER_S)
        self.crashes.append(time.monotonic())
        self._record.add(f"server {server.incarnation} crashes")
        task = asyncio.get_running_loop().create_task(self._restart(server))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)
        raise EOFError

    async def _restart(self, server: lab2.Server) -> None:
        """Ends the server and starts its next incarnation."""
        await server.stop()
        await asyncio.sleep(BACK_AFTER_S)
        successor = lab2.Server(self._machine, self._record)
        successor.behaviour = self
        self._machine.server = successor
        await successor.start()
        self._record.add(f"server {successor.incarnation} is back")


async def play(record: lab2.Record) -> int:
    """Returns the exit status."""
    deployment = lab2.Deployment(record, ["solo", "other", "other"])
    statuses: collections.Counter[int] = collections.Counter()
    try:
        await deployment.start(
            [lab2.route("solo", "unsafe"), lab2.route("other", "safe")]
        )
        machines = deployment.machines
        crashing = CrashingServer(machines[0], record)
        machines[0].server.behaviour = crashing
        until = time.monotonic() + LOAD_S
        while time.monotonic() < until:
            machine = machines[statuses.total() % len(machines)]
            statuses[await ask(machine, record)] += 1
            await asyncio.sleep(PAUSE_S)
    finally:
        await deployment.close()
    late = 0
    if len(crashing.crashes) >= MAX_RETRIES:
        since = crashing.crashes[MAX_RETRIES - 1] + STABLE_S
        late = sum(at > since for at in crashing.arrivals)
    record.add(
        f"answers {dict(statuses)}; {len(crashing.crashes)} crashes, {late} "
        f"arrivals over {STABLE_S:g} s after the third crash"
    )
    return lab2.BROKEN if late > MAX_RETRIES else lab2.HELD


async def ask(machine: lab2.Machine, record: lab2.Record) -> int:
    """Sends the request once; returns the status, 0 for no answer."""
    attempt_id = lab2.new_id()
    head = lab2.request_head(
        "POST", PATH, attempt_id, TIMEOUT_MS, Content_Length="0"
    )
    record.add(f"client at {machine.name} sends {attempt_id}")
    status = 0
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        answer = await lab2.exchange(machine.outbound, head, TIMEOUT_MS / 1000)
        status = answer.status
    record.add(f"client: {attempt_id} answered {status}")
    return status


if __name__ == "__main__":
    lab2.main(FOLDER, play)
