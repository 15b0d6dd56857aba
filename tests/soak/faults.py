"""The faults of a soak: drawn by the seed, in series, one over another."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import signal
from typing import TypeAlias

from radishwind.standins.platform_fleet import Instance
from radishwind.standins.platform_server import ServerFaults
from radishwind.standins.platform_store import StoreFaults
from tests.soak.proxy import Mode
from tests.soak.stage import Stage

#: Series of faults that run beside each other.
SERIES = 3

_ANSWERS = ("reset", "cut", "unframed-reset", "extra", "other", "lost")
_Fault: TypeAlias = Callable[[Stage, random.Random], Awaitable[str]]


async def inject(stage: Stage, seed: int, length_s: float) -> None:
    """Injects faults for a time, and takes all of them back."""
    try:
        async with asyncio.timeout(length_s), asyncio.TaskGroup() as tasks:
            for number in range(SERIES):
                rng = random.Random(seed * 100 + number)
                tasks.create_task(_series(stage, rng))
    except TimeoutError:
        pass
    await _calm(stage)


async def _series(stage: Stage, rng: random.Random) -> None:
    while True:
        fault = rng.choice(_FAULTS)
        began = asyncio.get_running_loop().time()
        what = await asyncio.shield(asyncio.ensure_future(fault(stage, rng)))
        took_s = asyncio.get_running_loop().time() - began
        print(f"{began:.2f} {fault.__name__} {what} {took_s:.2f}s", flush=True)
        await asyncio.sleep(0.6 * rng.random())


async def _calm(stage: Stage) -> None:
    """Takes back what lasts, and waits for what runs on an instance."""
    stage.fleet.store.faults = StoreFaults()
    for links in stage.links.values():
        for proxy in links.all():
            proxy.mode = Mode.OPEN
    async with asyncio.timeout(30):
        while stage.busy:  # noqa: ASYNC110
            await asyncio.sleep(0.05)
    for instance in stage.instances():
        if instance.server is not None:
            instance.server.faults = ServerFaults()


def _free(stage: Stage, rng: random.Random) -> Instance | None:
    """Returns an instance on which no other fault ends processes."""
    free = [i for i in stage.instances() if i.place.name not in stage.busy]
    if len(free) < 3:
        return None
    return rng.choice(free)


async def _alone(
    stage: Stage,
    rng: random.Random,
    fault: Callable[[Instance], Awaitable[None]],
) -> str:
    instance = _free(stage, rng)
    if instance is None:
        return "nothing"
    stage.busy.add(instance.place.name)
    try:
        await fault(instance)
    finally:
        stage.busy.discard(instance.place.name)
    return instance.place.name


async def kill_node(stage: Stage, rng: random.Random) -> str:
    return await _alone(
        stage, rng, lambda i: stage.stop_node(i, signal.SIGKILL)
    )


async def stop_node(stage: Stage, rng: random.Random) -> str:
    return await _alone(
        stage, rng, lambda i: stage.stop_node(i, signal.SIGTERM)
    )


async def pause_node(stage: Stage, rng: random.Random) -> str:
    async def pause(instance: Instance) -> None:
        instance.signal_node(signal.SIGSTOP)
        await asyncio.sleep(0.2 + 1.5 * rng.random())
        instance.signal_node(signal.SIGCONT)

    return await _alone(stage, rng, pause)


async def reload_node(stage: Stage, rng: random.Random) -> str:
    instance = rng.choice(stage.instances())
    if instance.place.name not in stage.busy:
        instance.signal_node(signal.SIGHUP)
    return instance.place.name


async def crash_server(stage: Stage, rng: random.Random) -> str:
    async def crash(instance: Instance) -> None:
        await instance.crash_server()
        await asyncio.sleep(1.5 * rng.random())
        await stage.restart_server(instance)

    return await _alone(stage, rng, crash)


async def drain_server(stage: Stage, rng: random.Random) -> str:
    says = rng.random() < 0.6
    return await _alone(
        stage, rng, lambda i: stage.leave(i, says_draining=says)
    )


async def spoil_server(stage: Stage, rng: random.Random) -> str:
    server = rng.choice(stage.instances()).server
    faults = rng.choice(
        (
            ServerFaults(answer=rng.choice(_ANSWERS), share=0.3),
            ServerFaults(fail=0.5),
            ServerFaults(shed=0.5),
            ServerFaults(slow=6.0),
            ServerFaults(health="bad"),
            ServerFaults(health="good", fail=1.0),
        )
    )
    if server is not None:
        server.faults = faults
        await asyncio.sleep(0.5 + 2 * rng.random())
        server.faults = ServerFaults()
    return str(faults)


async def harm_store(stage: Stage, rng: random.Random) -> str:
    store = stage.fleet.store
    faults = rng.choice(
        (
            *(StoreFaults(down=how) for how in ("busy", "many", "silent")),
            StoreFaults(down="reset", only=(stage.instances()[0].place.host,)),
            StoreFaults(delay_ms=300.0),
            StoreFaults(lose_answers=5, late_s=1.0),
        )
    )
    store.faults = faults
    await asyncio.sleep(0.5 + 3 * rng.random())
    store.faults = StoreFaults()
    if rng.random() < 0.3:
        store.compact_history()
    return str(faults)


async def harm_link(stage: Stage, rng: random.Random) -> str:
    name = rng.choice(sorted(stage.links))
    proxy = rng.choice(stage.links[name].all())
    proxy.mode = mode = rng.choice(list(Mode)[1:])
    await asyncio.sleep(0.3 + 2 * rng.random())
    proxy.mode = Mode.OPEN
    return f"{name} {mode.value}"


async def change_routes(stage: Stage, rng: random.Random) -> str:
    timeout_ms = rng.choice((800, 1000, 1500))
    return str(stage.configure(**{"timeout-ms": timeout_ms}))


async def change_keys(stage: Stage, rng: random.Random) -> str:
    if stage.accounts is None:
        return "no accounts"
    name = stage.accounts.give_another_key(rng)
    version = stage.configure()
    stage.accounts.took_old_keys(asyncio.get_running_loop().time())
    return f"{name} {version}"


_FAULTS: tuple[_Fault, ...] = (
    kill_node,
    stop_node,
    pause_node,
    reload_node,
    crash_server,
    drain_server,
    spoil_server,
    harm_store,
    harm_link,
    harm_link,
    change_routes,
    change_keys,
)
