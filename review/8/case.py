"""An acknowledged leave, after a kill of all nodes.

A server deregisters and gets its ack; it goes on serving for some seconds. All
nodes are killed and start again, and the store turns one of them away, that of
this server. A heartbeat from before the leave arrives late.
"""

import asyncio
import collections
import contextlib
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))

import lab2  # noqa: E402

from radishwind.standins.store_faults import StoreFaults  # noqa: E402

MACHINES = 4

#: The nodes are killed this long after the ack and start again later (s).
KILL_AFTER_S = 0.5
DOWN_S = 1.3

#: The store turns the node away for this long (s).
REFUSED_S = 9.0

#: When the late heartbeat arrives, and how long the server serves, both from
#: the ack on (s).
HEARTBEAT_AFTER_S = 4.0
SERVES_S = 15.0

#: The bounds of the rule (s), with a margin for the start of the processes.
DRAIN_S = 2.0
STABLE_S = 3.0
START_MARGIN_S = 0.5

SENT_PER_S = 20.0
TIMEOUT_MS = 2_000


class Load:
    """Clients at one machine.

    Attributes:
      sent: when each request was sent (monotonic s), by its id.
      statuses: the answers by status; 0 for none.
    """

    def __init__(self, machine: lab2.Machine, record: lab2.Record) -> None:
        self._record = record
        self._machine = machine
        self.sent: dict[str, float] = {}
        self.statuses: collections.Counter[int] = collections.Counter()

    async def run(self) -> None:
        """Sends requests until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            while True:
                tasks.create_task(self._ask())
                await asyncio.sleep(1 / SENT_PER_S)

    async def _ask(self) -> None:
        attempt_id = lab2.new_id()
        head = lab2.request_head(
            "POST",
            "/shop/unsafe/x",
            attempt_id,
            TIMEOUT_MS,
            Content_Length="0",
        )
        self._record.add(f"client sends {attempt_id}")
        self.sent[attempt_id] = time.monotonic()
        status = 0
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            answer = await lab2.exchange(
                self._machine.outbound, head, TIMEOUT_MS / 1000
            )
            status = answer.status
        self._record.add(f"client: {attempt_id} answered {status}")
        self.statuses[status] += 1


async def deregister(server: lab2.Server, record: lab2.Record) -> float:
    """Deregisters a server; returns when it got its ack (monotonic s)."""
    server.stop_heartbeats()
    server.state = "draining"
    for _ in range(10):
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            if await server.tell("Deregister") == 200:
                record.add(f"{server.incarnation} has deregistered")
                return time.monotonic()
        await asyncio.sleep(0.5)
    raise lab2.CannotRunError("the leave was not acknowledged")


async def kill_all(deployment: lab2.Deployment, record: lab2.Record) -> float:
    """Kills and starts all nodes; returns when they started (monotonic s)."""
    for machine in deployment.machines:
        machine.send_signal(signal.SIGKILL)
    record.add("all nodes are killed")
    first = deployment.machines[0]
    deployment.store.faults = StoreFaults(down="busy", only=(first.ip,))
    await asyncio.sleep(DOWN_S)
    for machine in deployment.machines:
        machine.end()
        machine.start_node(deployment.command)
    record.add(f"all nodes start; the store turns {first.name} away")
    return time.monotonic()


async def play(record: lab2.Record) -> int:
    """Returns the exit status."""
    deployment = lab2.Deployment(record, ["shop"] * MACHINES)
    try:
        await deployment.start([lab2.route("shop", "unsafe")])
        first = deployment.machines[0]
        server = first.server
        load = Load(first, record)
        loading = asyncio.create_task(load.run())
        await asyncio.sleep(2.0)
        late_heartbeat = server.make_call("Heartbeat")
        acked_at = await deregister(server, record)
        started_at = acked_at
        if lab2.has_trouble():
            await asyncio.sleep(KILL_AFTER_S)
            started_at = await kill_all(deployment, record)
        await asyncio.sleep(acked_at + HEARTBEAT_AFTER_S - time.monotonic())
        status = 0
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            status = await server.post(late_heartbeat)
        record.add(f"the late heartbeat arrives and gets {status}")
        refused_until = acked_at + KILL_AFTER_S + REFUSED_S
        await asyncio.sleep(refused_until - time.monotonic())
        deployment.store.faults = StoreFaults()
        record.add("the store serves all nodes")
        await asyncio.sleep(acked_at + SERVES_S - time.monotonic())
        loading.cancel()
    finally:
        await deployment.close()
    in_touch_at = started_at + START_MARGIN_S + STABLE_S
    late = [
        arrival
        for arrival in server.arrivals
        if arrival.at > acked_at + DRAIN_S
        and load.sent[arrival.attempt_id] > in_touch_at
    ]
    for arrival in late:
        record.add(
            f"{arrival.attempt_id} reached the server "
            f"{arrival.at - acked_at:.2f} s after its ack"
        )
    record.add(
        f"answers {dict(load.statuses)}; {len(late)} requests reached the "
        f"server later than {DRAIN_S:g} s after the ack"
    )
    return lab2.BROKEN if late else lab2.HELD


if __name__ == "__main__":
    lab2.main(FOLDER, play)
