"""Uploads whose clients leave while they wait for a slot.

Clients upload to a busy service. A share of them leaves early and closes the
connection, while the upload waits in a node for a free slot of a server.
"""

import asyncio
import collections
import fcntl
import math
import pathlib
import random
import sys
import termios
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))

import lab2  # noqa: E402

MACHINES = 3
SLOTS = 2
WORK_S = 0.6
CLIENTS = 15
LOAD_S = 40.0
PAUSE_S = 0.02
SETTLE_S = 3.0

#: An upload; the largest of the site has 360,000 (bytes).
BODY_BYTES = 300_000
TIMEOUT_MS = 6_000
AIM_MS = 3_000

#: The largest share of `give_up` on the pages, and when these clients leave.
LEAVING_SHARE = 0.3
LEAVE_AFTER_S = 0.5

#: The rule counts requests that reach a server later than this (s).
GRACE_S = 0.5

#: The rule allows "a few" of them.
FEW = 10


class Clients:
    """Sends uploads, each on a new connection.

    Attributes:
      statuses: the uploads by status, or by how they ended without an answer.
      left: when the connections of those that leave were closed (monotonic s),
        by the id of the upload; only of those whose bytes the node's machine
        had received all, so that the close reaches it at once.
    """

    def __init__(self, record: lab2.Record) -> None:
        self._record = record
        self._rng = random.Random(7)
        self.statuses: collections.Counter[str] = collections.Counter()
        self.left: dict[str, float] = {}

    async def run(self, address: tuple[str, int], until: float) -> None:
        """Uploads one after the other."""
        while time.monotonic() < until:
            is_leaving = self._rng.random() < LEAVING_SHARE
            await self._upload(
                address, is_leaving=is_leaving and lab2.has_trouble()
            )
            await asyncio.sleep(PAUSE_S)

    async def _upload(
        self, address: tuple[str, int], *, is_leaving: bool
    ) -> None:
        attempt_id = lab2.new_id()
        wait_s = LEAVE_AFTER_S if is_leaving else TIMEOUT_MS / 1000
        reader, writer = await asyncio.open_connection(*address)
        try:
            self._record.add(f"client sends {attempt_id}")
            async with asyncio.timeout(wait_s):
                writer.write(_head(attempt_id) + b"u" * BODY_BYTES)
                answer = await lab2.read_head(reader)
                await lab2.read_body(reader, answer)
            self._record.add(f"client: {attempt_id} answered {answer.status}")
            self.statuses[str(answer.status)] += 1
        except TimeoutError:
            self.statuses["left" if is_leaving else "timed out"] += 1
            if is_leaving and _is_received(writer):
                self.left[attempt_id] = time.monotonic()
                self._record.add(f"client of {attempt_id} closes")
        except (OSError, EOFError):
            self.statuses["closed"] += 1
        finally:
            writer.transport.abort()


def _is_received(writer: asyncio.StreamWriter) -> bool:
    """Returns whether the other machine has received all that was written."""
    if writer.transport.get_write_buffer_size():
        return False
    sock = writer.get_extra_info("socket")
    unacknowledged = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    return not any(unacknowledged)


def _head(attempt_id: str) -> bytes:
    return lab2.request_head(
        "POST",
        "/intake/upload/x",
        attempt_id,
        TIMEOUT_MS,
        Content_Length=str(BODY_BYTES),
    )


async def play(record: lab2.Record) -> int:
    """Returns the exit status."""
    deployment = lab2.Deployment(record, ["intake"] * MACHINES)
    route = lab2.route("intake", "upload")
    route |= {"timeout-ms": TIMEOUT_MS, "aim-ms": AIM_MS}
    clients = Clients(record)
    try:
        await deployment.start([route])
        for machine in deployment.machines:
            machine.server.set_slots(SLOTS)
            machine.server.work_s = WORK_S
        await asyncio.sleep(SETTLE_S)
        until = time.monotonic() + LOAD_S
        addresses = [m.outbound for m in deployment.machines]
        async with asyncio.TaskGroup() as tasks:
            for number in range(CLIENTS):
                address = addresses[number % MACHINES]
                tasks.create_task(clients.run(address, until))
        await asyncio.sleep(SETTLE_S)
    finally:
        await deployment.close()
    return judge(record, clients, deployment.machines)


def judge(
    record: lab2.Record, clients: Clients, machines: list[lab2.Machine]
) -> int:
    """Counts the uploads that reached a server after their client left."""
    late = 0
    late_runs = 0
    for machine in machines:
        for arrival in machine.server.seen:
            left_at = clients.left.get(arrival.attempt_id, math.inf)
            late_s = arrival.at - left_at
            if late_s <= GRACE_S:
                continue
            late += 1
            has_run = machine.server.runs(arrival.attempt_id)
            late_runs += has_run
            record.add(
                f"{arrival.attempt_id} reached a server {late_s:.2f} s after "
                f"its client had closed, ran: {has_run}"
            )
    record.add(
        f"uploads {dict(clients.statuses)}; {len(clients.left)} clients left, "
        f"their bytes received; {late} of their uploads reached a server "
        f"over {GRACE_S} s later, {late_runs} of these ran"
    )
    return lab2.BROKEN if late > FEW else lab2.HELD


if __name__ == "__main__":
    lab2.main(FOLDER, play)
