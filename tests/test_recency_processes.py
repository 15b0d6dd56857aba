"""Nodes accept an API key only with a recent proof that it is in force.

Guards against revoked keys that are accepted while the store is unreachable,
and against a node that refuses valid keys although its peers reach the store.
"""

import asyncio
import json
import signal

import aiohttp
import pytest

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Place
from radishwind.standins.platform_fleet import route
from radishwind.standins.platform_server import HEALTH_PATH
from radishwind.standins.store_faults import StoreFaults

pytestmark = [pytest.mark.anyio, pytest.mark.processes]

PLACES = [
    Place("a-1", "127.0.9.11", "a", "library"),
    Place("a-2", "127.0.9.12", "a", "library"),
    Place("b-1", "127.0.9.13", "b", "library"),
]
ROUTES = [
    route("library", "safe"),
    route("library", "safe", name="open", prefix="/open/", public=True),
]
REVOKE_BOUND_MS = 1500
WAIT_TIMEOUT_S = 20.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture
async def fleet(tmp_path):
    async with Fleet(PLACES, tmp_path) as running:
        for instance in running.instances.values():
            path = instance.settings_path
            strict = (
                f'"strict-revoke=true", "revoke-ms={REVOKE_BOUND_MS}", "grace-s'
            )
            path.write_text(path.read_text().replace('"grace-s', strict))
        configure(running, 2, ["one", "two"])
        await running.start(7, spell_s=0.0)
        for instance in running.instances.values():
            await wait_for(lambda i=instance: has_status(i, 200, key="one"))
            await wait_for(lambda i=instance: knows_secret(i))
        yield running


async def knows_secret(instance):
    """Returns whether the node can sign messages and verify its peers'."""
    return is_logged(instance, "secret of the fleet") or is_logged(
        instance, "Created the secret"
    )


def configure(fleet, version, keys, routes=ROUTES):
    cfg = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "library", "health-path": HEALTH_PATH, "max-conns": 64}
        ],
        "limits": {"idle-timeout-ms": 15000},
        "tenants": [{"name": "first", "api-keys": keys}],
    }
    fleet.store.put("op/config", json.dumps(cfg).encode())


async def ask(instance, path="/library/x", key=""):
    headers = {"Host": HOST, "Attempt-Id": "9c41", "Timeout-Ms": "1500"}
    if key:
        headers["Authorization"] = f"Token {key}"
    url = f"http://{instance.caller_address}{path}"
    async with (
        aiohttp.ClientSession() as session,
        session.get(url, headers=headers) as got,
    ):
        await got.read()
        return got.status, got.headers


async def has_status(instance, status, path="/library/x", key=""):
    return (await ask(instance, path, key))[0] == status


async def wait_for(check):
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not await check():  # noqa: ASYNC110
            await asyncio.sleep(0.05)


def is_logged(instance, text):
    return text in instance.log_path.read_text()


async def test_store_loss_refuses_keyed_requests_only(fleet):
    fleet.store.faults = StoreFaults(down="reset")

    for instance in fleet.instances.values():
        await wait_for(lambda i=instance: has_status(i, 503, key="one"))
        status, headers = await ask(instance, key="one")
        assert status == 503
        assert headers["Radishwind-Code"] == "3017"
        assert float(headers["Retry-After"]) >= 0.1
        assert await has_status(instance, 200, "/open/x")
        assert await has_status(instance, 200, "/open/x", key="one")
        assert await has_status(instance, 401)
        assert is_logged(instance, "Out of proof")
    fleet.store.faults = StoreFaults()
    for instance in fleet.instances.values():
        await wait_for(lambda i=instance: has_status(i, 200, key="one"))


@pytest.mark.parametrize("how", ["busy", "many", "reset", "silent"])
async def test_node_refused_by_the_store_stays_in_service(fleet, how):
    refused = fleet.instances["a-2"]
    hosts = (refused.place.host,)
    fleet.store.faults = StoreFaults(down=how, only=hosts)
    # Three times as long as a proof is valid.
    for _ in range(3 * REVOKE_BOUND_MS // 100):
        assert await has_status(refused, 200, key="one")
        await asyncio.sleep(0.1)

    configure(fleet, 4, ["two"])

    await wait_for(lambda: has_status(refused, 401, key="one"))
    assert await has_status(refused, 200, key="two")
    assert not is_logged(refused, "Out of proof")
    assert fleet.store.injected_count(how) > 0


async def test_proof_metrics_are_exported(fleet):
    instance = fleet.instances["a-1"]
    url = f"http://{instance.metrics_address}/metrics"
    async with aiohttp.ClientSession() as session, session.get(url) as got:
        text = await got.text()

    for name in ("age_seconds ", "questions_total{"):
        assert f"\nradishwind_key_proof_{name}" in text
    assert 'radishwind_keys_refused_total{reason="unproven"}' in text


async def test_node_that_starts_refused_by_the_store_adopts_changes(fleet):
    refused = fleet.instances["a-2"]
    fleet.store.faults = StoreFaults(down="busy", only=(refused.place.host,))
    refused.signal_node(signal.SIGKILL)
    await refused.node_ended()
    await refused.start_node()
    await fleet.until_ready(refused)
    await wait_for(lambda: has_status(refused, 200, "/open/x"))

    added = route("library", "safe", name="new", prefix="/new/", public=True)
    configure(fleet, 4, ["one"], [*ROUTES, added])

    await wait_for(lambda: has_status(refused, 200, "/new/x"))
    assert fleet.store.injected_count("busy") > 0
