"""Plays one seed and says which promises were broken."""

import asyncio
import pathlib
import random

import aiohttp

from tests.soak.accounts import Accounts
from tests.soak.accounts import UNLIMITED
from tests.soak.callers import ask
from tests.soak.callers import call_for
from tests.soak.callers import Told
from tests.soak.faults import inject
from tests.soak.stage import Stage

#: Requests a second at each node: with six nodes a sixth of what the servers
#: can run, so that a refusal has another reason than too many callers.
PER_S = 12.0

#: A server that leaves may get requests for this long after its word was
#: acknowledged (s), and such as were under way, for the longest delay of a
#: link on top.
DRAIN_S = 2.0
_UNDER_WAY_S = 1.0

#: Everything is served again within this time (s) after the last fault.
RECOVER_S = 15.0
_SERVED_IN_A_ROW = 5


async def play(seed: int, length_s: float, folder: pathlib.Path) -> list[str]:
    """Returns the promises that were broken; empty where none was."""
    rng = random.Random(seed)
    # The nodes' own part without accounts is soaked by every second seed.
    accounts = None if seed % 2 else Accounts(rng)
    stage = Stage(folder, rng, accounts)
    told = Told(accounts)
    async with stage.fleet:
        await stage.start(seed)
        done = asyncio.Event()
        async with asyncio.TaskGroup() as tasks:
            for number, instance in enumerate(stage.instances()):
                caller = call_for(instance, seed + number, PER_S, told, done)
                tasks.create_task(caller)
            await inject(stage, seed, length_s)
            broken = await _recovers(stage, told)
            done.set()
        await stage.close()
    print(f"answers: {dict(told.statuses)}")
    return broken + told.faults + stage.crashes + _runs(stage, told)


async def _recovers(stage: Stage, told: Told) -> list[str]:
    """Waits until every node serves every service several times in a row."""
    missing: list[str] = []
    async with aiohttp.ClientSession() as session:
        for instance in stage.instances():
            for service in ("library", "sessions"):
                if not await _serves(session, instance, service, told):
                    missing.append(f"{instance.place.name}: no {service}")
    return missing


async def _serves(session, instance, service, told) -> bool:
    in_a_row = 0
    try:
        async with asyncio.timeout(RECOVER_S):
            while in_a_row < _SERVED_IN_A_ROW:
                status = await ask(session, instance, service, told, UNLIMITED)
                in_a_row = in_a_row + 1 if status == 200 else 0
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


def _runs(stage: Stage, told: Told) -> list[str]:
    """Returns what the servers saw that they were not to see."""
    broken = []
    for server in stage.servers:
        left_at = server.leave_acknowledged_at
        if left_at is None or not server.last_run_started_at:
            continue
        late_s = server.last_run_started_at - left_at
        if late_s > DRAIN_S + _UNDER_WAY_S:
            broken.append(
                f"{server.incarnation}: run {late_s:.2f} s after it left"
            )
    for name in told.not_run:
        count = sum(s.runs[name] for s in stage.servers)
        if count:
            broken.append(f"{name}: told not run, ran {count} times")
    if stage.accounts is not None:
        broken += stage.accounts.broken(stage.servers)
    return broken + _twice(stage)


def _twice(stage: Stage) -> list[str]:
    """Returns the requests that must run once and ran more often."""
    sessions = [s for s in stage.servers if s.service == "sessions"]
    names = {name for server in sessions for name in server.runs}
    return [
        f"{name}: ran twice"
        for name in sorted(names)
        if sum(server.runs[name] for server in sessions) > 1
    ]
