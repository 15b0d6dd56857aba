"""Runs the soak test for one seed and reports violated guarantees."""

import asyncio
import pathlib
import random

import aiohttp

from tests.soak.account_keys import AccountKeys
from tests.soak.account_keys import UNLIMITED_ACCOUNT
from tests.soak.callers import CallerResults
from tests.soak.callers import send_load
from tests.soak.callers import send_request
from tests.soak.deployment import Deployment
from tests.soak.deployment import INSTANCE_COUNT
from tests.soak.faults import inject
from tests.soak.store_calls import find_excess

#: Requests per second at each node: with six nodes a sixth of the capacity of
#: the servers, so that refusals are not caused by the load alone.
LOAD_PER_S = 12.0

#: A leaving server may receive requests for this long after its leave was
#: acknowledged. Requests already in flight may take longer by the longest delay
#: of a link.
DRAIN_GRACE_S = 2.0
_IN_FLIGHT_GRACE_S = 1.0

#: Every service must be served again within this time after the last fault.
RECOVERY_LIMIT_S = 15.0
_REQUIRED_SUCCESSES = 5


async def run_soak(
    seed: int,
    length_s: float,
    folder: pathlib.Path,
    instance_count: int = INSTANCE_COUNT,
) -> list[str]:
    """Runs the load and the faults of one seed.

    Args:
      seed: seed of the load and the faults.
      length_s: how long faults are injected (s).
      folder: directory of the settings and logs of the nodes.
      instance_count: the number of instances.

    Returns:
      The violated guarantees; empty if all held.
    """
    rng = random.Random(seed)
    # Odd seeds run without accounts, so that nodes without them are covered.
    accounts = None if seed % 2 else AccountKeys(rng)
    results = CallerResults(accounts)
    deployment = Deployment(
        folder, rng, results.notices, accounts, instance_count
    )
    async with deployment.fleet:
        await deployment.start(seed)
        stop = asyncio.Event()
        async with asyncio.TaskGroup() as tasks:
            for number, instance in enumerate(deployment.instances()):
                load = send_load(
                    instance, seed + number, LOAD_PER_S, results, stop
                )
                tasks.create_task(load)
                probes = deployment.config_checks.probe(instance, stop)
                tasks.create_task(probes)
            await inject(deployment, seed, length_s)
            violations = await _find_unrecovered(deployment, results)
            stop.set()
        await deployment.close()
    unanswered = deployment.exits.find_unanswered(
        results.unanswered, deployment.servers
    )
    print(f"answers: {dict(results.statuses)}")
    print(f"injected: {_count_injected(deployment)}")
    return (
        violations
        + results.violations
        + deployment.odd_violations
        + deployment.exits.violations
        + unanswered
        + find_excess(deployment.fleet, deployment.exits)
        + _find_run_violations(deployment, results)
    )


def _count_injected(deployment: Deployment) -> dict[str, int]:
    """Returns how often the faults took effect that a seed may not bring."""
    servers = deployment.servers
    return {
        **deployment.injected,
        "crossed closes": deployment.exits.crossed_count,
        "late copies": sum(s.late_copies_sent for s in servers),
        "shed": sum(s.shed_count for s in servers),
        "endless": sum(s.endless_count for s in servers),
        "odd fields": sum(s.odd_fields_count for s in servers),
        "odd records read": sum(
            count
            for (name, _), count in deployment.fleet.store.injected.items()
            if name.startswith("odd record")
        ),
        "odd answers": deployment.fleet.store.injected_count("odd answer"),
    }


async def _find_unrecovered(
    deployment: Deployment, results: CallerResults
) -> list[str]:
    """Returns a violation for each service that a node fails to serve again."""
    unrecovered: list[str] = []
    async with aiohttp.ClientSession() as session:
        for instance in deployment.instances():
            for service in ("library", "sessions"):
                if not await _wait_recovered(
                    session, instance, service, results
                ):
                    unrecovered.append(f"{instance.place.name}: no {service}")
    return unrecovered


async def _wait_recovered(session, instance, service, results) -> bool:
    """Returns whether several requests in a row succeed in time."""
    successes = 0
    try:
        async with asyncio.timeout(RECOVERY_LIMIT_S):
            while successes < _REQUIRED_SUCCESSES:
                status = await send_request(
                    session, instance, service, results, UNLIMITED_ACCOUNT
                )
                successes = successes + 1 if status == 200 else 0
                await asyncio.sleep(0.02)
    except TimeoutError:
        return False
    return True


def _find_run_violations(
    deployment: Deployment, results: CallerResults
) -> list[str]:
    """Returns the violations among the requests that ran at the servers."""
    violations = []
    for server in deployment.servers:
        leave_acknowledged_at = server.leave_acknowledged_at
        if leave_acknowledged_at is None or not server.last_run_started_at:
            continue
        late_s = server.last_run_started_at - leave_acknowledged_at
        if late_s > DRAIN_GRACE_S + _IN_FLIGHT_GRACE_S:
            violations.append(
                f"{server.incarnation}: run {late_s:.2f} s after it left"
            )
    for request_id in results.not_run:
        count = sum(s.runs[request_id] for s in deployment.servers)
        if count:
            violations.append(f"{request_id}: told not run, ran {count} times")
    if deployment.accounts is not None:
        violations += deployment.accounts.find_violations(deployment.servers)
    violations += deployment.config_checks.find_violations(
        deployment.servers, deployment.fleet
    )
    violations += results.notices.find_violations(deployment.servers)
    return violations + _find_duplicate_runs(deployment)


def _find_duplicate_runs(deployment: Deployment) -> list[str]:
    """Returns a violation for each unsafe request that ran more than once."""
    unsafe_servers = [s for s in deployment.servers if s.service == "sessions"]
    request_ids = {
        request_id for server in unsafe_servers for request_id in server.runs
    }
    return [
        f"{request_id}: ran twice"
        for request_id in sorted(request_ids)
        if sum(server.runs[request_id] for server in unsafe_servers) > 1
    ]
