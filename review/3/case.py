"""The store comes back from a copy: does the next evacuation take effect?

The operator evacuates a zone and takes it back. Then the store is away for a
moment and comes back from a copy from before that, with lower revisions and the
next era; the operator writes its newest configuration again. Some seconds
later, with all calm, the operator evacuates the zone once more. From
`evacuate-ms` after the ack no request may reach a target of the zone.
"""

import asyncio
import base64
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

ZONE = "savona"
KEY = f"op/evacuate/{ZONE}"
#: How long the first evacuation lasts, and the store is away (s).
FIRST_FOR_S = 4.0
AWAY_S = 1.0
#: Changes of the configuration meanwhile; one more follows the drill.
CHANGES = 4
#: Calm before the second evacuation (s): twice `stable-ms`.
CALM_S = 6.0
#: `evacuate-ms` is 5,000; a second more for the way to the target.
BOUND_S = 6.0
OBSERVED_S = 12.0
RATE_PER_S = 60.0
TIMEOUT_MS = 1200


class Zones:
    """The clients, the operator and the check."""

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
        await asyncio.sleep(2.0)
        store, note = self._lab.store, self._lab.record.note
        copy = store.copy()
        note(f"a copy is made, revision {store.revision}", show=True)
        await self._evacuate_and_take_back()
        if TROUBLE:
            await self._come_back_from(copy)
        await asyncio.sleep(CALM_S / 2)
        self._configure()
        await asyncio.sleep(CALM_S / 2)
        revision = store.put(KEY, b"1")
        acked_at = self._lab.record.now
        note(f"{ZONE} evacuated again, acked at {revision}", show=True)
        await asyncio.sleep(BOUND_S + OBSERVED_S)
        self._is_over = True
        await loading
        return self._judge(acked_at)

    async def _start(self) -> None:
        lab = self._lab
        lab.bounds |= {
            "evacuate-ms": "5000",
            "cold-over": "1.5",
            "cold-slack": "8",
        }
        for zone in ("genova-a", "genova-b", ZONE):
            for number in (1, 2):
                lab.add(f"sidecar-{zone}-{number}", zone, "prenota")
        await lab.start_store()
        self._configure()
        for number, node in enumerate(lab.nodes.values(), 1):
            target = standins.Target(
                lab, node, "prenota", f"i-{number:08x}", work_s=0.08
            )
            self._targets.append(target)
            await target.start()
        await lab.start_nodes()
        await asyncio.sleep(4.0)

    def _configure(self) -> None:
        """Writes the next version of the configuration."""
        route = standins.make_route(
            "session-book", "prenota", **{"timeout-ms": TIMEOUT_MS}
        )
        version, revision = self._lab.configure([route])
        self._lab.record.note(f"version {version}, acked at {revision}")

    async def _evacuate_and_take_back(self) -> None:
        store, note = self._lab.store, self._lab.record.note
        revision = store.put(KEY, b"1")
        note(f"{ZONE} evacuated, acked at {revision}", show=True)
        for _ in range(CHANGES):
            await asyncio.sleep(FIRST_FOR_S / CHANGES)
            self._configure()
        revision = store.remove(KEY)
        note(f"{ZONE} taken back, acked at {revision}", show=True)
        await asyncio.sleep(1.0)

    async def _come_back_from(self, copy: tuple[object, ...]) -> None:
        store, note = self._lab.store, self._lab.record.note
        newest = base64.b64decode(store.items["op/config"]["value"])
        note(f"the store is away, revision {store.revision}", show=True)
        store.is_down = True
        store.server.reset_connections()
        await asyncio.sleep(AWAY_S)
        store.restore(copy)
        store.is_down = False
        # What the operator wrote is written again: the newest configuration.
        # No evacuation was in force.
        store.put("op/config", newest)
        note(f"the store is back, revision {store.revision}", show=True)

    async def _book(self, node: standins.Node, attempt: str) -> None:
        note = self._lab.record.note
        note(f"sent {attempt} to {node.name}")
        answer = await standins.call(
            node.host,
            node.outbound,
            "POST",
            "/session-book/1",
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
                attempt = f"s{number:05d}-{self._rng.getrandbits(32):08x}"
                node = self._rng.choice(nodes)
                tasks.create_task(self._book(node, attempt))
                await asyncio.sleep(self._rng.expovariate(RATE_PER_S))

    def _judge(self, acked_at: float) -> int:
        """Checks EVAC; returns the exit code."""
        late = [
            run[0] - acked_at
            for target in self._targets
            for run in target.runs
            if target.node.zone == ZONE and run[0] > acked_at + BOUND_S
        ]
        note = self._lab.record.note
        note(f"answers {dict(self._answers)}", show=True)
        note(f"EVAC: {len(late)} requests ran in {ZONE} too late", show=True)
        if late:
            note(f"the last {max(late):.1f} s after the ack", show=True)
        if self._answers["200"] < self._answers.total() / 10:
            note("not served; no verdict", show=True)
            return 2
        return 1 if late else 0


async def main() -> int:
    """Returns the exit code."""
    record = standins.Record(HERE / "record.txt")
    lab = standins.Lab(record, 83)
    try:
        return await Zones(lab).play()
    except (OSError, TimeoutError) as exc:
        record.note(f"could not run: {exc!r}", show=True)
        return 2
    finally:
        await lab.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
