"""Odd entries, answers and messages end no node of the library's program.

Guards against an exception out of a duty in the background, which ends the
node with the requests on it.
"""

import base64
import json
import pathlib
import random
import signal
import socket
import time

import pytest
import xxhash

from radishwind.claims.claim_record import CLAIM_PREFIX
from radishwind.config.records import CHANGES_PREFIX
from radishwind.config.records import MANIFESTS_PREFIX
from radishwind.config.records import PARTS_PREFIX
from radishwind.config.records import ROOT_KEY
from radishwind.membership.contact_records import CONTACTS_KEY_PREFIX
from radishwind.standins.odd_entries import make_etcd_entries
from radishwind.standins.odd_messages import CONTROL_PATHS
from radishwind.standins.odd_messages import make_odd_bodies
from radishwind.standins.odd_messages import make_odd_datagrams
from radishwind.standins.odd_records import make_odd_documents
from radishwind.standins.odd_records import nested_arrays
from radishwind.standins.odd_records import with_unknown_field
from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until

ROOT = pathlib.Path(__file__).parents[1]
INVENTORY = ROOT / "examples/quickstart/inventory.json"
RULES = ROOT / "examples/quickstart/rules.json"
NODES = (
    ("bollettino-1", "bollettino", "genova-a"),
    ("prenota-1", "prenota", "savona"),
)
SEED = 5302

#: Enough levels for any parser, and few enough for the line of a watch.
NESTED = nested_arrays(100_000).decode()

pytestmark = pytest.mark.processes


@pytest.fixture
def fleet():
    with Fleet() as fleet:
        for target, service, domain in NODES:
            fleet.start_backend(target)
            fleet.start_node(target, service, domain)
        fleet.apply("inventory", INVENTORY)
        for target, _, _ in NODES:
            wait_until(lambda t=target: serves(fleet, t), target)
            wait_until(lambda t=target: fleet.status(t)["members"] == 2, target)
        yield fleet


def serves(fleet, target, path="/prenota/x"):
    assert fleet.processes[f"node {target}"].running(), f"{target} ended"
    return fetch(fleet.caller_url(target) + path)[0] == 200


def restart(fleet, target, service, domain):
    """Stops a node as planned and starts it again, without waiting for it."""
    fleet.processes[f"node {target}"].send(signal.SIGTERM)
    assert fleet.processes[f"node {target}"].wait() == 0
    fleet.processes[f"node {target}"].end()
    fleet.start_node(target, service, domain)


def assert_serves_and_adopts(fleet):
    """Checks that no node ended and that the next change is adopted."""
    fleet.apply("rules", RULES)
    for target, _, _ in NODES:
        wait_until(lambda t=target: serves(fleet, t), f"{target} to serve")
        wait_until(
            lambda t=target: fleet.status(t)["config_revision"] >= 2,
            f"{target} to adopt the change",
        )


def encode(data):
    raw = data.encode() if isinstance(data, str) else data
    return base64.b64encode(raw).decode()


def call_store(fleet, path, **message):
    url = f"http://{fleet.store}{path}"
    status, _, body = fetch(url, "POST", json.dumps(message).encode())
    assert status == 200, body
    return json.loads(body)


def put_odd(fleet, key, value):
    call_store(
        fleet,
        "/standin/odd-entry",
        oddity=key.encode(errors="backslashreplace").decode(),
        key=encode(key),
        value=encode(value),
    )


def read_prefix(fleet, prefix):
    found = call_store(
        fleet,
        "/v3/kv/range",
        key=encode(prefix),
        range_end=encode(prefix[:-1] + chr(ord(prefix[-1]) + 1)),
    )
    return {
        base64.b64decode(kv["key"]).decode(): base64.b64decode(kv["value"])
        for kv in found["kvs"]
    }


def count_odd_reads(fleet):
    url = f"http://{fleet.store}/standin/counters"
    return sum(json.loads(fetch(url)[2])["odd_reads"].values())


@pytest.mark.parametrize(
    "prefix",
    [CONTACTS_KEY_PREFIX, CHANGES_PREFIX, MANIFESTS_PREFIX, PARTS_PREFIX],
)
def test_odd_entries_beside_good_ones_end_no_node(fleet, prefix):
    good = read_prefix(fleet, prefix)
    keep = {} if prefix == CONTACTS_KEY_PREFIX else good
    entries = make_etcd_entries(
        random.Random(SEED), ["genova-a", "savona"], {}, now_ms()
    )
    for entry in entries:
        if entry.key.startswith(prefix) and entry.key not in keep:
            put_odd(fleet, entry.key, entry.value)

    for node in NODES:
        restart(fleet, *node)
    assert_serves_and_adopts(fleet)


def now_ms():
    return int(time.time() * 1000)


def make_nested_contacts():
    return f'{{"contacts":[["127.0.0.1:9",{now_ms()}]],"more":{NESTED}}}'


def test_nested_contacts_of_every_domain_end_no_node(fleet):
    for _, _, domain in NODES:
        put_odd(fleet, CONTACTS_KEY_PREFIX + domain, make_nested_contacts())
    restart(fleet, *NODES[0])
    wait_until(lambda: count_odd_reads(fleet) > 0, "a read of the entries")

    assert_serves_and_adopts(fleet)


def test_odd_root_of_the_configuration_leaves_the_one_in_force(fleet):
    good = read_prefix(fleet, ROOT_KEY)[ROOT_KEY]
    document = json.loads(good)
    odd = make_odd_documents(random.Random(SEED), document)
    odd += make_odd_documents(random.Random(SEED), document["record"])
    for content in odd:
        put_odd(fleet, ROOT_KEY, content.data)
    wait_until(lambda: count_odd_reads(fleet) > 0, "a read of the root")
    for target, _, _ in NODES:
        assert serves(fleet, target)
    put_odd(fleet, ROOT_KEY, good)

    assert_serves_and_adopts(fleet)


@pytest.mark.parametrize("prefix", [MANIFESTS_PREFIX, PARTS_PREFIX])
def test_node_starts_beside_nested_parts_of_the_configuration(fleet, prefix):
    good = read_prefix(fleet, prefix)
    assert good
    # The root holds small parts itself; a node then reads no others.
    root = json.loads(read_prefix(fleet, ROOT_KEY)[ROOT_KEY])
    put_odd(fleet, ROOT_KEY, json.dumps({**root, "parts": {}}))
    before = count_odd_reads(fleet)
    for key in good:
        put_odd(fleet, key, f'{{"unknown":{NESTED}}}')
    for node in NODES:
        fleet.processes[f"node {node[0]}"].send(signal.SIGKILL)
        fleet.processes[f"node {node[0]}"].wait()
        fleet.processes[f"node {node[0]}"].end()
        fleet.start_node(*node)
    starts = 2 * len(NODES)
    wait_until(lambda: count_odd_reads(fleet) > before + starts, "reads")
    for key, value in good.items():
        put_odd(fleet, key, value)

    assert_serves_and_adopts(fleet)


def test_odd_claim_is_no_failure_of_the_node(fleet):
    statuses = []
    url = fleet.caller_url("prenota-1") + "/prenota/book"
    assert book(url, "good") == 200
    wait_until(lambda: read_prefix(fleet, CLAIM_PREFIX), "the claim")
    (good,) = read_prefix(fleet, CLAIM_PREFIX).values()
    contents = make_odd_documents(random.Random(SEED), json.loads(good))
    nested = [c for c in contents if "1000" in c.name]
    for content in [*nested, *random.Random(SEED).sample(contents, 20)]:
        # A key of its own, since nodes keep the claims that they know.
        digest = xxhash.xxh3_128_hexdigest(content.name.encode())
        put_odd(fleet, f"{CLAIM_PREFIX}prenota/{digest}", content.data)
        before = count_odd_reads(fleet)

        def is_read(name=content.name, before=before):
            statuses.append((name, book(url, name)))
            return count_odd_reads(fleet) > before

        # A node pauses its calls for a while after some that failed.
        wait_until(is_read, "a read of the claim")

    assert [name for name, status in statuses if status == 500] == []
    assert_serves_and_adopts(fleet)


def book(url, key):
    return fetch(url, "POST", b"tavola", {"Idempotency-Key": key})[0]


@pytest.mark.parametrize(
    "answer",
    [
        f'{{"kvs":{NESTED}}}',
        f'{{"unknown":{NESTED}}}',
        '{"header":{"revision":"1' + "0" * 400 + '"},"ID":"9","TTL":"1e400"}',
        '{"result":{"header":{"revision":"1"},"events":[[]],"ID":-1}}',
        "\ud800".encode(errors="surrogatepass").decode("latin-1"),
        "[]",
        "{",
    ],
    ids=["nested", "unknown", "number", "events", "text", "array", "truncated"],
)
def test_odd_answers_of_the_store_end_no_node(fleet, answer):
    call_store(fleet, "/standin/faults", odd_answer=answer)
    restart(fleet, *NODES[0])
    # Any call of a node, while it follows the store or claims a request.
    book(fleet.caller_url(NODES[1][0]) + "/prenota/book", "k")
    wait_until(lambda: count_odd_answers(fleet) > 5, "odd answers")
    for target, _, _ in NODES:
        assert fleet.processes[f"node {target}"].running(), f"{target} ended"
    call_store(fleet, "/standin/faults")

    assert_serves_and_adopts(fleet)


def count_odd_answers(fleet):
    url = f"http://{fleet.store}/standin/counters"
    return json.loads(fetch(url)[2])["odd_answers"]


def test_odd_calls_and_datagrams_between_nodes_end_no_node(fleet):
    target = NODES[0][0]
    port = fleet.ports[target][2]
    statuses = {}
    for path in CONTROL_PATHS:
        for body in make_odd_bodies(random.Random(SEED)):
            url = f"http://127.0.0.1:{port}{path}"
            statuses[path, body.name] = post(url, body.data)
    datagrams = make_odd_datagrams(random.Random(SEED), "prenota", "savona")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        for datagram in datagrams:
            sender.sendto(datagram.data, ("127.0.0.1", port))

    assert [name for name, status in statuses.items() if status == 500] == []
    assert_serves_and_adopts(fleet)


def test_odd_announcements_are_refused(fleet):
    target = NODES[0][0]
    good = {"target": target, "address": "127.0.0.1:9", "started": "x"}
    statuses = {}
    url = fleet.admin_url(target) + "/v1/server"
    for content in make_odd_documents(random.Random(SEED), good):
        statuses[content.name] = post(url, content.data)
    # As deep as the longest body that is read can nest.
    nested = with_unknown_field(json.dumps(good).encode(), nested_arrays(1900))
    statuses["nested"] = post(url, nested)

    assert {k: v for k, v in statuses.items() if v == 500} == {}
    assert_serves_and_adopts(fleet)


def post(url, body):
    """Returns the status; 0 if the node did not read a long body to its end."""
    try:
        return fetch(url, "POST", body)[0]
    except OSError:
        assert len(body) > 4096
        return 0
