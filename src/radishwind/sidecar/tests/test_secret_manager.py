"""The fleet secret is created once and read once per start."""

import base64
import random

import anyio
import anyio.lowlevel
import msgspec
import pytest

from radishwind.core import ManualClock
from radishwind.membership.contact_records import contact_addresses
from radishwind.membership.contact_records import CONTACTS_KEY_PREFIX
from radishwind.membership.contact_records import decode_contact_record
from radishwind.peers.keyring import Keyring
from radishwind.sidecar import secret_manager
from radishwind.sidecar.secret_manager import decode_record
from radishwind.sidecar.secret_manager import KEY
from radishwind.sidecar.secret_manager import SECRET_BYTES
from radishwind.sidecar.secret_manager import SecretManager
from radishwind.sidecar.secret_manager import SecretRecord
from radishwind.store.base import StoreAnswerLostError
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.base import TxnResult

pytestmark = pytest.mark.anyio

WITHIN_S = 10.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(autouse=True)
def shorten_delays(monkeypatch):
    monkeypatch.setattr(secret_manager, "_LISTING_S", 0.0)
    for name in ("CREATOR_WAIT_S", "_INITIAL_BACKOFF_S", "_STALE_READ_DELAY_S"):
        monkeypatch.setattr(secret_manager, name, 0.01)


class Store:
    """Holds the record; fails as configured."""

    def __init__(self):
        self.revision = 10
        self.value = None
        self.era = 0
        self.is_unavailable = False
        self.stale_reads_lag = False
        self.lost_answers = 0
        self.calls = []

    async def get(self, key, *, allow_stale=False):
        assert key == KEY
        self.calls.append("get stale" if allow_stale else "get")
        await anyio.lowlevel.checkpoint()
        if self.is_unavailable:
            raise StoreUnavailableError("unavailable")
        if self.value is None or (allow_stale and self.stale_reads_lag):
            return None
        return StoreEntry(
            key, self.value, self.revision, self.revision, era=self.era
        )

    async def transact(self, compares, operations):
        self.calls.append("transact")
        await anyio.lowlevel.checkpoint()
        if self.is_unavailable:
            raise StoreUnavailableError("unavailable")
        current_revision = self.revision if self.value is not None else 0
        if compares[0].mod_revision != current_revision:
            return TxnResult(False, 0)
        self.revision += 1
        self.value = operations[0].value
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreAnswerLostError("lost")
        return TxnResult(True, self.revision, self.era)

    def come_back(self, value):
        """Comes back from a copy with `value` in the next era."""
        self.era += 1
        self.revision = 3
        self.value = value

    def replace(self, value):
        self.revision += 1
        self.value = value


class SynchronousRumorBus:
    """Delivers each rumor to every subscriber at once."""

    def __init__(self):
        self.handlers = []
        self.published = []

    def publish(self, topic, key, version, value, ttl_s):
        self.published.append(value)
        for handler in self.handlers:
            handler(key, value)

    def subscribe(self, topic, handler):
        self.handlers.append(handler)


class Node:
    def __init__(self, store, rumor_bus, number=1, is_creator=True):
        self.clock = ManualClock()
        self.keyring = Keyring(self.clock)
        rng = random.Random(number)
        self.manager = SecretManager(
            keyring=self.keyring,
            store=store,
            clock=self.clock,
            rng=rng,
            rumor_bus=rumor_bus,
            is_creator=lambda: is_creator,
            spread_s=0.0,
            entropy=rng.randbytes,
        )


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def rumor_bus():
    return SynchronousRumorBus()


async def settle():
    """Lets every task that is ready run until it waits."""
    for _ in range(50):
        await anyio.lowlevel.checkpoint()


async def wait_until(check):
    with anyio.fail_after(WITHIN_S):
        while not check():  # noqa: ASYNC110
            await anyio.sleep(0.002)


@pytest.fixture
async def running():
    async with anyio.create_task_group() as tasks:

        def start(*nodes):
            for node in nodes:
                tasks.start_soon(node.manager.run)

        yield start
        tasks.cancel_scope.cancel()


async def test_one_of_concurrent_creators_wins(store, running):
    nodes = [Node(store, SynchronousRumorBus(), i) for i in range(8)]
    for node in nodes:
        node.keyring.set_has_accounts(True, with_grace=False)
    running(*nodes)

    await wait_until(lambda: not any(n.keyring.lacks_secret for n in nodes))

    secrets = {n.keyring.signing_secret for n in nodes}
    assert secrets == {decode_record(store.value).secret}
    assert len(next(iter(secrets))) == SECRET_BYTES


async def test_other_nodes_wait_for_creator(
    store, rumor_bus, running, monkeypatch
):
    monkeypatch.setattr(secret_manager, "CREATOR_WAIT_S", WITHIN_S)
    creator = Node(store, rumor_bus, 1)
    others = [Node(store, rumor_bus, i, is_creator=False) for i in range(2, 9)]
    for node in (creator, *others):
        node.keyring.set_has_accounts(True, with_grace=False)
    running(*others, creator)

    await wait_until(
        lambda: not any(n.keyring.lacks_secret for n in (creator, *others))
    )

    assert store.calls.count("transact") == 1
    assert store.calls.count("get") == 1
    assert store.calls.count("get stale") == 1 + len(others)


async def test_stale_reads_are_repeated_during_grace_period(
    store, rumor_bus, running, monkeypatch
):
    monkeypatch.setattr(secret_manager, "_STALE_READS", 10_000)
    # The others wait for the rumor however long the creator takes.
    monkeypatch.setattr(secret_manager, "CREATOR_WAIT_S", 60.0)
    store.stale_reads_lag = True
    creator = Node(store, rumor_bus, 1)
    others = [Node(store, rumor_bus, i, is_creator=False) for i in range(2, 9)]
    for node in (creator, *others):
        node.keyring.set_has_accounts(True, with_grace=True)
    running(*others, creator)
    await wait_until(lambda: store.calls.count("get stale") > len(others))

    store.stale_reads_lag = False

    await wait_until(
        lambda: not any(n.keyring.lacks_secret for n in (creator, *others))
    )
    assert store.calls.count("get") == 1


async def test_stale_reads_that_keep_lagging_are_given_up(
    store, rumor_bus, running
):
    store.stale_reads_lag = True
    creator = Node(store, rumor_bus, 1)
    other = Node(store, rumor_bus, 2, is_creator=False)
    for node in (creator, other):
        node.keyring.set_has_accounts(True, with_grace=True)
    running(other, creator)

    await wait_until(lambda: not other.keyring.lacks_secret)


async def test_rumor_carries_revision_and_no_secret(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)

    await wait_until(lambda: rumor_bus.published)

    assert rumor_bus.published == [msgspec.json.encode(store.revision)]


async def test_secret_is_taken_from_listed_contacts(store, rumor_bus, running):
    value = msgspec.json.encode(SecretRecord(b"s" * SECRET_BYTES))
    node = Node(store, rumor_bus)
    running(node)

    node.manager.on_listed(StoreEntry(CONTACTS_KEY_PREFIX + "a", b"{}", 3, 3))
    node.manager.on_listed(StoreEntry(KEY, value, 4, 4))
    node.keyring.set_has_accounts(True, with_grace=False)
    await settle()

    assert node.keyring.signing_secret == b"s" * SECRET_BYTES
    assert store.calls == []


def test_representation_of_record_hides_secret():
    secret = bytes(range(200, 200 + SECRET_BYTES))
    record = SecretRecord(secret)
    shown = f"{record} {record!r} {[record]}"

    assert "SecretRecord" in shown
    for form in (
        repr(secret)[2:-1],
        secret.hex(),
        base64.b64encode(secret).decode(),
        base64.urlsafe_b64encode(secret).decode(),
    ):
        assert form[:12] not in shown
    assert decode_record(msgspec.json.encode(record)) == record


def test_record_is_not_read_as_contact():
    value = msgspec.json.encode(SecretRecord(b"s" * SECRET_BYTES))

    assert KEY.startswith(CONTACTS_KEY_PREFIX)
    assert contact_addresses(decode_contact_record(value)) == ()


async def test_without_accounts_store_is_not_called(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    running(node)

    node.keyring.set_has_accounts(False, with_grace=False)
    await settle()

    assert store.calls == []


async def test_known_secret_needs_no_further_call(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await wait_until(lambda: not node.keyring.lacks_secret)
    before = len(store.calls)

    node.keyring.set_has_accounts(False, with_grace=False)
    node.keyring.set_has_accounts(True, with_grace=False)
    await settle()

    assert len(store.calls) == before


async def test_read_is_retried_until_store_is_available(
    store, rumor_bus, running
):
    store.is_unavailable = True
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await wait_until(lambda: len(store.calls) >= 2)
    assert node.keyring.lacks_secret

    store.is_unavailable = False

    await wait_until(lambda: not node.keyring.lacks_secret)


async def test_write_with_lost_answer_is_read_back(store, rumor_bus, running):
    store.lost_answers = 1
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)

    await wait_until(lambda: not node.keyring.lacks_secret)

    assert store.calls.count("transact") == 1


async def test_stale_read_without_record_creates_no_second_secret(
    store, rumor_bus, running
):
    store.replace(msgspec.json.encode(SecretRecord(b"s" * SECRET_BYTES)))
    store.stale_reads_lag = True
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)

    await wait_until(lambda: not node.keyring.lacks_secret)

    assert node.keyring.signing_secret == b"s" * SECRET_BYTES
    assert "transact" not in store.calls


@pytest.mark.parametrize("value", [b"", b"\xff", b"{}", b'{"secret":"c3M="}'])
async def test_malformed_record_is_replaced(store, rumor_bus, running, value):
    store.replace(value)
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)

    await wait_until(lambda: not node.keyring.lacks_secret)

    assert decode_record(store.value) is not None


async def test_removed_record_is_recreated_and_read_by_all(
    store, rumor_bus, running
):
    nodes = [Node(store, rumor_bus, i, is_creator=i == 1) for i in range(1, 4)]
    for node in nodes:
        node.keyring.set_has_accounts(True, with_grace=False)
    running(*nodes)
    await wait_until(lambda: not any(n.keyring.lacks_secret for n in nodes))
    before = nodes[0].keyring.signing_secret

    store.value = None
    started = Node(store, rumor_bus, 9)
    started.keyring.set_has_accounts(True, with_grace=False)
    running(started)
    nodes.append(started)

    await wait_until(
        lambda: len({n.keyring.signing_secret for n in nodes}) == 1
    )
    assert started.keyring.signing_secret != before
    assert all(before in n.keyring.accepted_secrets for n in nodes[:3])


async def test_forged_messages_cause_few_reads(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await wait_until(lambda: not node.keyring.lacks_secret)
    before = len(store.calls)

    for _ in range(200):
        node.keyring.suspect_outdated()
        await settle()
    await settle()
    assert len(store.calls) == before + 1

    for _ in range(600):
        node.clock.advance(1.0)
        node.keyring.suspect_outdated()
        await settle()
    assert len(store.calls) <= before + 40


async def test_malformed_rumor_is_ignored(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    running(node)

    rumor_bus.publish("peer-secret", "record", 1, b'"x"', 1.0)
    await settle()

    assert store.calls == []


async def test_reads_back_off_while_store_is_unavailable(
    store, rumor_bus, running
):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await wait_until(lambda: not node.keyring.lacks_secret)
    store.is_unavailable = True
    before = len(store.calls)

    store.replace(msgspec.json.encode(SecretRecord(b"n" * SECRET_BYTES)))
    for handler in rumor_bus.handlers:
        handler("record", msgspec.json.encode(store.revision))
    await settle()
    assert len(store.calls) == before + 1
    for _ in range(50):
        node.keyring.suspect_outdated()
        await settle()
    assert len(store.calls) == before + 1

    store.is_unavailable = False
    node.clock.advance(secret_manager._MAX_REFRESH_BACKOFF_S)
    node.keyring.suspect_outdated()
    await wait_until(lambda: node.keyring.signing_secret == b"n" * SECRET_BYTES)
    assert len(store.calls) == before + 2


async def test_secret_is_read_soon_after_a_long_store_outage(
    store, rumor_bus, running
):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await wait_until(lambda: not node.keyring.lacks_secret)
    store.is_unavailable = True
    store.replace(msgspec.json.encode(SecretRecord(b"n" * SECRET_BYTES)))
    for _ in range(20):
        node.clock.advance(secret_manager._MAX_REFRESH_BACKOFF_S)
        node.keyring.suspect_outdated()
        await settle()

    store.is_unavailable = False
    node.clock.advance(secret_manager._MAX_BACKOFF_S)
    node.keyring.suspect_outdated()

    await wait_until(lambda: node.keyring.signing_secret == b"n" * SECRET_BYTES)


async def test_rumor_causes_read_at_once_despite_backoff(
    store, rumor_bus, running
):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await wait_until(lambda: not node.keyring.lacks_secret)
    node.keyring.suspect_outdated()
    await settle()

    store.replace(msgspec.json.encode(SecretRecord(b"n" * SECRET_BYTES)))
    for handler in rumor_bus.handlers:
        handler("record", msgspec.json.encode(store.revision))

    await wait_until(lambda: node.keyring.signing_secret == b"n" * SECRET_BYTES)


async def start_fleet(store, rumor_bus, running):
    nodes = [Node(store, rumor_bus, i, is_creator=i == 1) for i in range(1, 4)]
    for node in nodes:
        node.keyring.set_has_accounts(True, with_grace=False)
    running(*nodes)
    await wait_until(lambda: not any(n.keyring.lacks_secret for n in nodes))
    return nodes


async def test_secret_that_a_drill_of_the_store_lost_is_written_again(
    store, rumor_bus, running
):
    nodes = await start_fleet(store, rumor_bus, running)
    before = nodes[0].keyring.signing_secret

    store.come_back(None)
    for node in nodes:
        node.manager.on_new_era()
    await wait_until(lambda: store.value is not None)
    started = Node(store, rumor_bus, 9)
    started.keyring.set_has_accounts(True, with_grace=False)
    running(started)

    await wait_until(lambda: not started.keyring.lacks_secret)
    assert {n.keyring.signing_secret for n in (*nodes, started)} == {before}


async def test_older_secret_that_a_drill_brought_back_is_read_by_all(
    store, rumor_bus, running
):
    nodes = await start_fleet(store, rumor_bus, running)
    other = msgspec.json.encode(SecretRecord(b"o" * SECRET_BYTES))

    store.come_back(other)
    for node in nodes:
        node.manager.on_new_era()

    await wait_until(
        lambda: (
            {n.keyring.signing_secret for n in nodes} == {b"o" * SECRET_BYTES}
        )
    )
