"""A duty that fails in a node ends neither the node nor a request on it.

In each node another step fails while requests run on kept connections.
"""

import asyncio
import json
import pathlib
import signal
import sys
import uuid

import aiohttp
import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from tests.support import processes
from tests.test_platform_processes import is_served
from tests.test_platform_processes import log_lines
from tests.test_platform_processes import wait_for

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

ROOT = pathlib.Path(__file__).parents[1]
ONDA = ROOT / "examples/onda"
FAULTY_NODE = str(ROOT / "tests/support/faulty_node.py")

#: Kept connections to each node, and the pause between the requests on one.
CONNECTIONS = 3
PAUSE_S = 0.02

#: By duty of the platform's node, the step that fails while the node serves.
SERVING_STEPS = {
    "membership.timers": "membership.gossip:Gossip.tick",
    "membership.exchanges": (
        "node.membership_tasks:MembershipTasks._exchange_by_http"
    ),
    "routes.watch_check": "routes.evacuation:EvacuationState.expire_carried",
    "routes.adoption": "sidecar.link_side:LinkSide.adopt",
    "recency.renewal": "recency.renewal_planner:RenewalPlanner.plan",
    "profile": "sidecar.service_profile:LocalEstimates.merge_into",
    "target.load_poller": "target.load_poller:LoadPoller.send_check",
    "target.load_listeners": "target.pipeline:TargetPipeline.start_deferred",
    "loads.reports": "loads.report_scheduler:ReportScheduler.due",
    "entry.hedge_timer": "entry.hedge_timer:HedgeTimer._pop_due",
    "entry.observers": "telemetry.node_exposition:NodeExposition.finished",
    "settings": "sidecar.settings_reloader:SettingsReloader.check",
    "peers.datagrams": (
        "sidecar.load_report_exchange:LoadReportExchange._on_message"
    ),
}

#: Likewise in a small fleet, in which each node watches the store.
WATCHER_STEPS = {
    "routes.watch": "routes.store_watcher:StoreWatcher._apply_event",
    "routes.pushes": "routes.route_feed:RouteFeed._push",
    "routes.pulls": "routes.route_feed:RouteFeed._is_behind",
    "recency.reads": "routes.route_feed:RouteFeed.confirm",
}

#: Likewise for a step that fails from the start of the node.
FIRST_STEPS = {
    "membership.search": "node.peer_search:PeerSearch.run",
    "membership.rumors": "routes.route_feed:RouteFeed._on_version_rumor",
    "store.era_notices": "sidecar.era_notices:EraNotices.run",
    "leaving.load": "target.leaving_records:LeavingRecords.load",
    "leaving.records": "target.leaving_records:LeavingRecords.run",
    "peers.route_check": "sidecar.route_verifier:RouteVerifier.run",
    "peers.secret": "sidecar.secret_manager:SecretManager.run",
    "quotas": "sidecar.quota_sharing:QuotaSharing._wait_until_needed",
}


#: By duty of the library's node, the step that fails while the node serves.
LIBRARY_STEPS = {
    "membership.timers": "membership.gossip:Gossip.tick",
    "membership.exchanges": "node.membership_tasks:MembershipTasks._exchange",
    "config.pulls": "config.config_exchange:ConfigExchange.pull_from",
    "config.adoption": "node.target_side:TargetSide.apply_config",
    "entry.hedge_timer": "entry.hedge_timer:HedgeTimer._pop_due",
    "target.probes": "probing.prober:Prober.tick",
}

#: Likewise for a step that fails from the start of the node.
LIBRARY_FIRST_STEPS = {
    "membership.search": "node.peer_search:PeerSearch.run",
    "config.watch": "node.store_follower:StoreFollower._follow",
    "config.watch_confirmation": (
        "node.store_follower:StoreFollower._confirm_watch"
    ),
    "config.watch_check": "node.store_follower:StoreFollower._check_watch",
    "config.reports": "node.config_tasks:ConfigTasks._pull_reported",
    "config.notices": "node.config_tasks:ConfigTasks._notify_members",
    "claims.updates": "claims.claim_update_queue:ClaimUpdateQueue.run",
}


class Callers:
    """Sends requests on kept connections until it is stopped.

    Attributes:
      statuses: the statuses of the responses, by name of the node.
      lost: the names of the nodes that left a request without a response.
    """

    def __init__(self):
        self.statuses = {}
        self.lost = []
        self._is_stopped = False

    def stop(self):
        self._is_stopped = True

    async def send(self, name, url, fields):
        connector = aiohttp.TCPConnector(limit=1)
        timeout = aiohttp.ClientTimeout(total=10.0)
        async with aiohttp.ClientSession(
            connector=connector, timeout=timeout
        ) as session:
            while not self._is_stopped:
                try:
                    fields["Attempt-Id"] = uuid.uuid4().hex[:16]
                    async with session.get(url, headers=fields) as response:
                        await response.read()
                except (aiohttp.ClientError, TimeoutError):
                    self.lost.append(name)
                    return
                self.statuses.setdefault(name, set()).add(response.status)
                await asyncio.sleep(PAUSE_S)


def python_with_faulty_step(step, file):
    return (sys.executable, FAULTY_NODE, f"radishwind.{step}", str(file))


async def metric(instance, name):
    """Returns the values of a metric by duty; empty while it can't be read."""
    url = f"http://{instance.metrics_address}/metrics"
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.get(url) as response,
        ):
            text = await response.text()
    except aiohttp.ClientError:
        return {}
    samples = [
        line.rpartition(" ")
        for line in text.splitlines()
        if line.startswith(f"{name}{{")
    ]
    return {labels.split('"')[1]: float(v) for labels, _, v in samples}


async def until_each(duties, check, on_poll=lambda: None):
    """Waits until `check` holds for the node of each duty.

    Args:
      duties: the nodes by duty.
      check: tells whether it holds for a duty and its node.
      on_poll: called before each round of checks.
    """
    left = dict(duties)

    async def is_done():
        on_poll()
        for duty, instance in list(left.items()):
            if instance.exit_status is not None:
                continue
            if await check(duty, instance):
                del left[duty]
        return not left

    try:
        await wait_for(is_done)
    except TimeoutError:
        ended = [d for d, i in duties.items() if i.exit_status is not None]
        pytest.fail(f"not seen for {sorted(left)}; ended: {ended}")


async def has_failed(duty, instance):
    failures = await metric(instance, "radishwind_duty_failures_total")
    return failures.get(duty, 0) > 0


async def all_duties_run(duty, instance):
    running = await metric(instance, "radishwind_duty_running")
    return running != {} and all(running.values())


def places(count):
    return [
        Place(f"{domain}-{n}", f"127.0.33.{20 * index + n}", domain, "s")
        for index, domain in enumerate("ab", 1)
        for n in range(1, count // 2 + 1 + (count % 2 and index == 1))
    ]


async def adopt_everywhere(fleet, name):
    new = route("s", "safe", name=name, prefix=f"/{name}/")
    fleet.configure([route("s", "safe"), new])
    for instance in fleet.instances.values():
        await wait_for(lambda i=instance: is_served(fleet, i, f"/{name}/x"))


@pytest.mark.parametrize(
    ("steps", "fails_at_start"),
    [(SERVING_STEPS, False), (WATCHER_STEPS, False), (FIRST_STEPS, True)],
    ids=["serving", "watching", "starting"],
)
async def test_failing_duty_costs_no_request_of_a_platform_node(
    tmp_path, steps, fails_at_start
):
    files = {duty: tmp_path / f"fail-{duty}" for duty in steps}
    async with Fleet(places(len(steps)), tmp_path) as fleet:
        duties = dict(zip(steps, fleet.instances.values(), strict=True))
        for duty, instance in duties.items():
            instance.python = python_with_faulty_step(steps[duty], files[duty])
            if fails_at_start:
                files[duty].touch()
        fleet.configure([route("s", "safe")])
        await fleet.start(7, spell_s=0.0)
        for instance in duties.values():
            await wait_for(lambda i=instance: is_served(fleet, i, "/s/x"))
        callers = Callers()
        async with asyncio.TaskGroup() as tasks:
            for duty, instance in duties.items():
                url = f"http://{instance.caller_address}/s/x"
                for _ in range(CONNECTIONS):
                    fields = {"Host": HOST, "Timeout-Ms": "2000"}
                    tasks.create_task(callers.send(duty, url, fields))
            for file in files.values():
                file.touch()
            # A node pulls a version only if it hears of it before it gets it.
            await until_each(
                duties,
                has_failed,
                lambda: fleet.configure([route("s", "safe")]),
            )
            for file in files.values():
                file.unlink()
            await until_each(duties, all_duties_run)
            await adopt_everywhere(fleet, "new")
            callers.stop()

        assert callers.lost == []
        assert {d for d, s in callers.statuses.items() if 200 in s} == set(
            steps
        )
        for duty, instance in duties.items():
            lines = [x for x in log_lines(instance) if x.get("duty") == duty]
            assert {x["kind"] for x in lines} == {"InjectedError"}, duty
            assert {x["message_type"] for x in lines} == {
                "radishwind:supervision"
            }
            instance.signal_node(signal.SIGTERM)
        for duty, instance in duties.items():
            assert await instance.node_ended() == 0, duty


def write_rules(folder, deadline_ms):
    rules = json.loads((ONDA / "rules.json").read_text())
    rules["defaults"]["deadline_ms"] = deadline_ms
    file = folder / f"rules-{deadline_ms}.json"
    file.write_text(json.dumps(rules))
    return file


def library_targets():
    targets = json.loads((ONDA / "inventory.json").read_text())["targets"]
    return {t["name"]: (t["service"], t["failure_domain"]) for t in targets}


def until_status(fleet, targets, description, check):
    """Waits until `check` holds for the status of each duty's node."""
    for duty, target in targets.items():
        processes.wait_until(
            lambda d=duty, t=target: check(d, fleet.status(t)),
            f"{description}: {duty}",
        )


@pytest.mark.parametrize(
    ("steps", "fails_at_start"),
    [(LIBRARY_STEPS, False), (LIBRARY_FIRST_STEPS, True)],
    ids=["serving", "starting"],
)
async def test_failing_duty_costs_no_request_of_a_library_node(
    tmp_path, steps, fails_at_start
):
    files = {duty: tmp_path / f"fail-{duty}" for duty in steps}
    places_by_target = library_targets()
    targets = dict(zip(steps, places_by_target, strict=False))
    with processes.Fleet() as fleet:
        await asyncio.to_thread(
            fleet.apply, "inventory", ONDA / "inventory.json"
        )
        for duty, target in targets.items():
            fleet.start_backend(target)
            python = python_with_faulty_step(steps[duty], files[duty])
            if fails_at_start:
                files[duty].touch()
            fleet.start_node(target, *places_by_target[target], python=python)
        urls = {
            duty: f"{fleet.caller_url(target)}/{places_by_target[target][0]}/x"
            for duty, target in targets.items()
        }
        for duty, url in urls.items():
            await asyncio.to_thread(
                processes.wait_until,
                lambda url=url: processes.fetch(url)[0] == 200,
                f"answers beside {duty}",
            )
        callers = Callers()
        async with asyncio.TaskGroup() as tasks:
            for duty, url in urls.items():
                for _ in range(CONNECTIONS):
                    tasks.create_task(callers.send(duty, url, {}))
            await asyncio.to_thread(
                fail_and_recover,
                fleet,
                targets,
                files,
                tmp_path,
            )
            callers.stop()

        assert callers.lost == []
        assert {d for d, s in callers.statuses.items() if 200 in s} == set(
            steps
        )
        for duty, target in targets.items():
            process = fleet.processes[f"node {target}"]
            lines = [json.loads(x) for x in process.log().splitlines()]
            of_duty = [x for x in lines if x.get("duty") == duty]
            assert {x["kind"] for x in of_duty} == {"InjectedError"}, duty
            process.send(signal.SIGTERM)
            assert process.wait() == 0, duty


def fail_and_recover(fleet, targets, files, folder):
    for file in files.values():
        file.touch()
    fleet.apply("rules", write_rules(folder, 1900))
    until_status(
        fleet,
        targets,
        "an error",
        lambda duty, status: status["errors_contained"].get(duty, 0) > 0,
    )
    for file in files.values():
        file.unlink()
    until_status(
        fleet,
        targets,
        "all duties run",
        lambda duty, status: all(d["is_running"] for d in status["duties"]),
    )
    fleet.apply("rules", write_rules(folder, 1800))
    until_status(
        fleet,
        targets,
        "the newest configuration",
        lambda duty, status: status["config_revision"] == 3,
    )
