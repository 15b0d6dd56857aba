"""All nodes are killed after a leave was acknowledged: is the leave kept?

A target deregisters, gets its ack, and goes on serving for some seconds. Half a
second after the ack the processes of all nodes are killed at once, and start
again. The platform's store is sound all the while. A heartbeat that the target
sent before it deregistered arrives seconds late, after the start. Later than
`drain-ms` after the ack, no request may reach the target.
"""

import asyncio
import collections
import os
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lab"))

import lab as standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))

#: When the processes are killed, from the ack, and how long they are down (s).
KILL_AFTER_S = 0.5
DOWN_S = 1.3
#: When the late heartbeat arrives, from the ack (s); it was sent before it.
LATE_BEAT_S = 4.0
#: How long the target serves after the ack (s).
STAYS_S = 15.0
#: `stable-ms`: for as long the nodes must have run when a request counts (s).
STABLE_S = 3.0
DRAIN_S = 2.0
RATE_PER_S = 60.0
TIMEOUT_MS = 1500


class Leave:
    """The clients, the leave and the check."""

    def __init__(self, lab: standins.Lab) -> None:
        self._lab = lab
        self._rng = random.Random(SEED)
        self._answers: collections.Counter[str] = collections.Counter()
        self._targets: list[standins.Target] = []
        self._is_over = False

    async def play(self) -> int:
        """Plays the case; returns the exit code."""
        await self._start()
        loading = asyncio.create_task(self._send_load())
        await asyncio.sleep(3.0)
        leaving = self._targets[0]
        beat = leaving.next_beat()
        leaving.stop_beats()
        if not await leaving.deregister():
            self._lab.record.note("the leave got no ack", show=True)
            return 2
        acked_at = self._lab.record.now
        leaving.state = "draining"
        note = self._lab.record.note
        note(f"{leaving.instance} deregistered, acked", show=True)
        deliver = asyncio.create_task(
            self._deliver_late(leaving, beat, acked_at)
        )
        started_at = 0.0
        if TROUBLE:
            await asyncio.sleep(KILL_AFTER_S)
            started_at = await self._kill_all()
        await deliver
        await asyncio.sleep(acked_at + STAYS_S - self._lab.record.now)
        self._is_over = True
        await loading
        return self._judge(max(acked_at + DRAIN_S, started_at + STABLE_S + 0.5))

    async def _start(self) -> None:
        lab = self._lab
        for zone in ("rk-hall-a", "rk-hall-b", "rk-annex"):
            for number in (1, 2):
                lab.add(f"sidecar-{zone}-{number}", zone, "sessions")
        await lab.start_store()
        lab.configure(
            [
                standins.make_route(
                    "review-book", "sessions", **{"timeout-ms": TIMEOUT_MS}
                )
            ]
        )
        for number, node in enumerate(lab.nodes.values(), 1):
            target = standins.Target(
                lab, node, "sessions", f"i-{number:08x}", slots=6, work_s=0.08
            )
            self._targets.append(target)
            await target.start()
        await lab.start_nodes()
        await asyncio.sleep(4.0)

    async def _kill_all(self) -> float:
        """Kills and starts all nodes; returns when the last one is ready."""
        lab = self._lab
        lab.record.note("all nodes are killed", show=True)
        await asyncio.gather(*(n.kill() for n in lab.nodes.values()))
        lab.restart_settings()
        await asyncio.sleep(DOWN_S)
        await asyncio.gather(*(n.start() for n in lab.nodes.values()))
        await asyncio.gather(*(n.until_ready() for n in lab.nodes.values()))
        lab.record.note("all nodes are ready again", show=True)
        return lab.record.now

    async def _deliver_late(
        self, target: standins.Target, beat: dict[str, object], acked_at: float
    ) -> None:
        await asyncio.sleep(acked_at + LATE_BEAT_S - self._lab.record.now)
        acked = await target.send_beat(beat)
        self._lab.record.note(
            f"a heartbeat from before the leave arrives, acked: {acked}",
            show=True,
        )

    async def _book(self, node: standins.Node, attempt: str) -> None:
        note = self._lab.record.note
        note(f"sent {attempt} to {node.name}")
        answer = await standins.call(
            node.host,
            node.outbound,
            "POST",
            "/review-book/1",
            {
                "Host": standins.HOST,
                "Attempt-Id": attempt,
                "Timeout-Ms": str(TIMEOUT_MS),
            },
            timeout_s=TIMEOUT_MS / 1000,
        )
        status = "none" if answer is None else answer.start[1]
        self._answers[status] += 1
        note(f"answered {attempt} {status}")

    async def _send_load(self) -> None:
        nodes = list(self._lab.nodes.values())
        number = 0
        async with asyncio.TaskGroup() as tasks:
            while not self._is_over:
                number += 1
                attempt = f"b{number:05d}-{self._rng.getrandbits(32):08x}"
                node = self._rng.choice(nodes)
                tasks.create_task(self._book(node, attempt))
                await asyncio.sleep(self._rng.expovariate(RATE_PER_S))

    def _judge(self, from_s: float) -> int:
        """Checks DRAIN; returns the exit code."""
        late = [run for run in self._targets[0].runs if run[0] > from_s]
        kept = [k for k in self._lab.store.items if "leaving" in k]
        for text in (
            f"answers {dict(self._answers)}",
            f"records of the leave in the store: {kept}",
            f"DRAIN: {len(late)} requests reached the target too late",
        ):
            self._lab.record.note(text, show=True)
        if self._answers["200"] < self._answers.total() / 10:
            self._lab.record.note("not served; no verdict", show=True)
            return 2
        return 1 if late else 0


async def main() -> int:
    """Returns the exit code."""
    record = standins.Record(HERE / "record.txt")
    lab = standins.Lab(record, 82)
    try:
        return await Leave(lab).play()
    except (OSError, TimeoutError) as exc:
        record.note(f"could not run: {exc!r}", show=True)
        return 2
    finally:
        await lab.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
