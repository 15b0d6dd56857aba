"""Late surplus answers beside refusals: are the refusals true?

Three targets of one service run orders, which are not idempotent. For some
seconds two of them send a second copy of some answers, late, where the next
answer on the connection is expected. All the while the targets refuse some
requests (`Not-Executed`). Afterwards each order must have run once at most,
and none that was answered 429, 503, 408 or 421 may have run.
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

#: As in the site's entry `garble`, `extra late`: share .6, x .03, for 5 s.
EXTRA_X = 0.03
EXTRA_FOR_S = 5.0
EXTRA_TARGETS = 2
#: As in the site's entry `srv_grey`, `shed all`: x .55, for 8.5 s.
SHED_X = 0.55
SHED_FOR_S = 8.5
ROUNDS = 6
PAUSE_S = 1.0

PLACES = (("rk-hall-a", 1), ("rk-hall-b", 1), ("rk-annex", 1))

#: Requests a second at all machines together; the work of one (s), and the
#: slots of a target, as in the site: the targets can run 285 a second.
RATE_PER_S = float(os.environ.get("RATE", "280"))
WORK_S = 0.063
SLOTS = 6
TIMEOUT_MS = 800

#: Time that a target takes to refuse a request (s).
REFUSAL_S = 0.01

PROMISES = frozenset({"429", "503", "408", "421"})


class OrderTarget(standins.Target):
    """A target that refuses some requests and repeats some answers late."""

    def __init__(self, *args: object, rng: random.Random, **kw: object) -> None:
        super().__init__(*args, **kw)
        self._rng = rng
        self.sheds = False
        self.repeats = False
        self.refused = 0
        self.repeated = 0
        self.server.serve = self.serve

    def _repeats_next(self) -> bool:
        return self.repeats and self._rng.random() < EXTRA_X

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection, one request at a time."""
        surplus = b""
        while (message := await standins.read_head(reader)) is not None:
            message.body = await standins.read_body(reader, message)
            if surplus:
                # Late: the next answer is expected by now.
                self.repeated += 1
                self.lab.record.note(f"surplus answer of {self.instance}")
                writer.write(surplus)
                await writer.drain()
                surplus = b""
            is_probe = message.start[1] == "/health"
            if self.sheds and not is_probe and self._rng.random() < SHED_X:
                await asyncio.sleep(REFUSAL_S)
                self.refused += 1
                attempt = message.headers.get("attempt-id")
                self.lab.record.note(f"refused {attempt} at {self.instance}")
                answer = self.refuse()
            else:
                answer = await self.handle(message)
                if self._repeats_next() and not is_probe:
                    surplus = answer
            writer.write(answer)
            await writer.drain()


class Orders:
    """The clients, the disturbance and the check."""

    def __init__(self, lab: standins.Lab) -> None:
        self._lab = lab
        self._rng = random.Random(SEED)
        self._answers: dict[str, str] = {}
        self._targets: list[OrderTarget] = []

    async def play(self) -> int:
        """Plays the case; returns the exit code."""
        await self._start()
        disturbing = asyncio.create_task(self._disturb())
        await self._send_load(
            self._lab.record.now + ROUNDS * (SHED_FOR_S + PAUSE_S)
        )
        await disturbing
        await asyncio.sleep(2.0)
        return self._judge()

    async def _start(self) -> None:
        lab = self._lab
        for zone, number in PLACES:
            lab.add(f"sidecar-{zone}-{number}", zone, "dispatch")
        await lab.start_store()
        lab.configure(
            [
                standins.make_route(
                    "pkg-release", "dispatch", **{"timeout-ms": TIMEOUT_MS}
                )
            ]
        )
        for number, node in enumerate(lab.nodes.values(), 1):
            target = OrderTarget(
                lab,
                node,
                "dispatch",
                f"i-{number:08x}",
                slots=SLOTS,
                work_s=WORK_S,
                rng=self._rng,
            )
            self._targets.append(target)
            await target.start()
        await lab.start_nodes()
        await asyncio.sleep(4.0)

    async def _order(self, node: standins.Node, attempt: str) -> None:
        note = self._lab.record.note
        note(f"sent {attempt} to {node.name}")
        answer = await standins.call(
            node.host,
            node.outbound,
            "POST",
            "/pkg-release/1",
            {
                "Host": standins.HOST,
                "Attempt-Id": attempt,
                "Timeout-Ms": str(TIMEOUT_MS),
            },
            timeout_s=TIMEOUT_MS / 1000,
        )
        if answer is None:
            note(f"answered {attempt} none")
            return
        code = answer.headers.get("radishwind-code", "")
        self._answers[attempt] = answer.start[1]
        note(f"answered {attempt} {answer.start[1]} {code}")

    async def _send_load(self, until: float) -> None:
        nodes = list(self._lab.nodes.values())
        async with asyncio.TaskGroup() as tasks:
            while self._lab.record.now < until:
                number = len(self._answers)
                attempt = f"o{number:05d}-{self._rng.getrandbits(32):08x}"
                self._answers[attempt] = "none"
                tasks.create_task(self._order(self._rng.choice(nodes), attempt))
                await asyncio.sleep(self._rng.expovariate(RATE_PER_S))

    async def _disturb(self) -> None:
        for _ in range(ROUNDS):
            for number, target in enumerate(self._targets):
                target.sheds = True
                target.repeats = TROUBLE and number < EXTRA_TARGETS
            await asyncio.sleep(EXTRA_FOR_S)
            for target in self._targets:
                target.repeats = False
            await asyncio.sleep(SHED_FOR_S - EXTRA_FOR_S)
            for target in self._targets:
                target.sheds = False
            await asyncio.sleep(PAUSE_S)

    def _judge(self) -> int:
        """Checks TWICE and REFUSED; returns the exit code."""
        answers = self._answers
        runs = collections.Counter(
            run[1] for target in self._targets for run in target.runs
        )
        twice = sorted(a for a, count in runs.items() if count > 1)
        untrue = sorted(a for a in runs if answers.get(a) in PROMISES)
        counts = collections.Counter(answers.values())
        refused = sum(t.refused for t in self._targets)
        repeated = sum(t.repeated for t in self._targets)
        for text in (
            f"sent {len(answers)}, answers {dict(counts)}",
            f"refused by targets {refused}, surplus answers {repeated}",
            f"TWICE: {len(twice)} ran more than once: {twice[:5]}",
            f"REFUSED: {len(untrue)} ran, answered as not run: {untrue[:5]}",
        ):
            self._lab.record.note(text, show=True)
        if counts["200"] < len(answers) / 10:
            self._lab.record.note("not served; no verdict", show=True)
            return 2
        return 1 if twice or untrue else 0


async def main() -> int:
    """Returns the exit code."""
    record = standins.Record(HERE / "record.txt")
    lab = standins.Lab(record, 81)
    try:
        return await Orders(lab).play()
    except (OSError, TimeoutError) as exc:
        record.note(f"could not run: {exc!r}", show=True)
        return 2
    finally:
        await lab.close()


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
