"""The secret of the fleet is made once, and read once a start."""

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
from radishwind.sidecar.secret_manager import KEY
from radishwind.sidecar.secret_manager import read_record
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
def short(monkeypatch):
    monkeypatch.setattr(secret_manager, "_LISTING_S", 0.0)
    for name in ("OTHERS_WAIT_S", "_FIRST_PAUSE_S", "_AGED_S"):
        monkeypatch.setattr(secret_manager, name, 0.01)


class Store:
    """Holds the record; fails as told."""

    def __init__(self):
        self.revision = 10
        self.value = None
        self.away = False
        self.behind = False
        self.lost = 0
        self.calls = []

    async def get(self, key, *, allow_stale=False):
        assert key == KEY
        self.calls.append("get stale" if allow_stale else "get")
        await anyio.lowlevel.checkpoint()
        if self.away:
            raise StoreUnavailableError("away")
        if self.value is None or (allow_stale and self.behind):
            return None
        return StoreEntry(key, self.value, self.revision, self.revision)

    async def transact(self, compares, operations):
        self.calls.append("transact")
        await anyio.lowlevel.checkpoint()
        if self.away:
            raise StoreUnavailableError("away")
        stands = self.revision if self.value is not None else 0
        if compares[0].mod_revision != stands:
            return TxnResult(False, 0)
        self.revision += 1
        self.value = operations[0].value
        if self.lost:
            self.lost -= 1
            raise StoreAnswerLostError("lost")
        return TxnResult(True, self.revision)

    def replace(self, value):
        self.revision += 1
        self.value = value


class Board:
    """Tells each subscriber at once."""

    def __init__(self):
        self.handlers = []
        self.told = []

    def publish(self, topic, key, version, value, ttl_s):
        self.told.append(value)
        for handler in self.handlers:
            handler(key, value)

    def subscribe(self, topic, handler):
        self.handlers.append(handler)


class Node:
    def __init__(self, store, rumor_bus, number=1, makes=True):
        self.clock = ManualClock()
        self.keyring = Keyring(self.clock)
        rng = random.Random(number)
        self.keeper = SecretManager(
            keyring=self.keyring,
            store=store,
            clock=self.clock,
            rng=rng,
            rumor_bus=rumor_bus,
            makes=lambda: makes,
            spread_s=0.0,
            entropy=rng.randbytes,
        )


@pytest.fixture
def store():
    return Store()


@pytest.fixture
def rumor_bus():
    return Board()


async def settled():
    """Lets every task that is ready run until it waits."""
    for _ in range(50):
        await anyio.lowlevel.checkpoint()


async def until(check):
    with anyio.fail_after(WITHIN_S):
        while not check():  # noqa: ASYNC110
            await anyio.sleep(0.002)


@pytest.fixture
async def running():
    async with anyio.create_task_group() as tasks:

        def start(*nodes):
            for node in nodes:
                tasks.start_soon(node.keeper.run)

        yield start
        tasks.cancel_scope.cancel()


async def test_of_many_that_find_none_one_wins(store, running):
    nodes = [Node(store, Board(), i) for i in range(8)]
    for node in nodes:
        node.keyring.set_has_accounts(True, with_grace=False)
    running(*nodes)

    await until(lambda: not any(n.keyring.lacks_secret for n in nodes))

    secrets = {n.keyring.signing_secret for n in nodes}
    assert secrets == {read_record(store.value).secret}
    assert len(next(iter(secrets))) == SECRET_BYTES


async def test_others_wait_for_who_is_to_make_it(
    store, rumor_bus, running, monkeypatch
):
    monkeypatch.setattr(secret_manager, "OTHERS_WAIT_S", WITHIN_S)
    maker = Node(store, rumor_bus, 1)
    others = [Node(store, rumor_bus, i, makes=False) for i in range(2, 9)]
    for node in (maker, *others):
        node.keyring.set_has_accounts(True, with_grace=False)
    running(*others, maker)

    await until(
        lambda: not any(n.keyring.lacks_secret for n in (maker, *others))
    )

    assert store.calls.count("transact") == 1
    assert store.calls.count("get") == 1
    assert store.calls.count("get stale") == 1 + len(others)


async def test_where_nothing_is_refused_yet_an_old_answer_is_waited_for(
    store, rumor_bus, running, monkeypatch
):
    monkeypatch.setattr(secret_manager, "_AGED_READS", 10_000)
    # However long the maker takes, the others wait for its word.
    monkeypatch.setattr(secret_manager, "OTHERS_WAIT_S", 60.0)
    store.behind = True
    maker = Node(store, rumor_bus, 1)
    others = [Node(store, rumor_bus, i, makes=False) for i in range(2, 9)]
    for node in (maker, *others):
        node.keyring.set_has_accounts(True, with_grace=True)
    running(*others, maker)
    await until(lambda: store.calls.count("get stale") > len(others))

    store.behind = False

    await until(
        lambda: not any(n.keyring.lacks_secret for n in (maker, *others))
    )
    assert store.calls.count("get") == 1


async def test_an_answer_that_stays_old_is_not_waited_for_long(
    store, rumor_bus, running
):
    store.behind = True
    maker = Node(store, rumor_bus, 1)
    other = Node(store, rumor_bus, 2, makes=False)
    for node in (maker, other):
        node.keyring.set_has_accounts(True, with_grace=True)
    running(other, maker)

    await until(lambda: not other.keyring.lacks_secret)


async def test_the_secret_is_told_to_nobody(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)

    await until(lambda: rumor_bus.told)

    assert rumor_bus.told == [msgspec.json.encode(store.revision)]


async def test_a_start_takes_it_from_the_list_of_contacts(
    store, rumor_bus, running
):
    value = msgspec.json.encode(SecretRecord(b"s" * SECRET_BYTES))
    node = Node(store, rumor_bus)
    running(node)

    node.keeper.listed(StoreEntry(CONTACTS_KEY_PREFIX + "a", b"{}", 3, 3))
    node.keeper.listed(StoreEntry(KEY, value, 4, 4))
    node.keyring.set_has_accounts(True, with_grace=False)
    await settled()

    assert node.keyring.signing_secret == b"s" * SECRET_BYTES
    assert store.calls == []


def test_the_record_shows_its_secret_to_no_line():
    held = bytes(range(200, 200 + SECRET_BYTES))
    record = SecretRecord(held)
    shown = f"{record} {record!r} {[record]}"

    assert "SecretRecord" in shown
    for form in (
        repr(held)[2:-1],
        held.hex(),
        base64.b64encode(held).decode(),
        base64.urlsafe_b64encode(held).decode(),
    ):
        assert form[:12] not in shown
    assert read_record(msgspec.json.encode(record)) == record


def test_the_record_counts_as_no_contact():
    value = msgspec.json.encode(SecretRecord(b"s" * SECRET_BYTES))

    assert KEY.startswith(CONTACTS_KEY_PREFIX)
    assert contact_addresses(decode_contact_record(value)) == ()


async def test_without_accounts_no_call_is_made(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    running(node)

    node.keyring.set_has_accounts(False, with_grace=False)
    await settled()

    assert store.calls == []


async def test_a_known_secret_costs_no_further_call(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await until(lambda: not node.keyring.lacks_secret)
    before = len(store.calls)

    node.keyring.set_has_accounts(False, with_grace=False)
    node.keyring.set_has_accounts(True, with_grace=False)
    await settled()

    assert len(store.calls) == before


async def test_a_store_that_comes_back_is_asked_again(
    store, rumor_bus, running
):
    store.away = True
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await until(lambda: len(store.calls) >= 2)
    assert node.keyring.lacks_secret

    store.away = False

    await until(lambda: not node.keyring.lacks_secret)


async def test_a_write_whose_answer_is_lost_is_found(store, rumor_bus, running):
    store.lost = 1
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)

    await until(lambda: not node.keyring.lacks_secret)

    assert store.calls.count("transact") == 1


async def test_an_old_answer_without_it_makes_no_second_secret(
    store, rumor_bus, running
):
    store.replace(msgspec.json.encode(SecretRecord(b"s" * SECRET_BYTES)))
    store.behind = True
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)

    await until(lambda: not node.keyring.lacks_secret)

    assert node.keyring.signing_secret == b"s" * SECRET_BYTES
    assert "transact" not in store.calls


@pytest.mark.parametrize("value", [b"", b"\xff", b"{}", b'{"secret":"c3M="}'])
async def test_a_record_nobody_can_read_is_replaced(
    store, rumor_bus, running, value
):
    store.replace(value)
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)

    await until(lambda: not node.keyring.lacks_secret)

    assert read_record(store.value) is not None


async def test_a_removed_record_is_made_anew_and_all_read_it(
    store, rumor_bus, running
):
    nodes = [Node(store, rumor_bus, i, makes=i == 1) for i in range(1, 4)]
    for node in nodes:
        node.keyring.set_has_accounts(True, with_grace=False)
    running(*nodes)
    await until(lambda: not any(n.keyring.lacks_secret for n in nodes))
    before = nodes[0].keyring.signing_secret

    store.value = None
    started = Node(store, rumor_bus, 9)
    started.keyring.set_has_accounts(True, with_grace=False)
    running(started)
    nodes.append(started)

    await until(lambda: len({n.keyring.signing_secret for n in nodes}) == 1)
    assert started.keyring.signing_secret != before
    assert all(before in n.keyring.accepted_secrets for n in nodes[:3])


async def test_forged_messages_cause_few_looks(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await until(lambda: not node.keyring.lacks_secret)
    before = len(store.calls)

    for _ in range(200):
        node.keyring.suspect_outdated()
        await settled()
    await settled()
    assert len(store.calls) == before + 1

    for _ in range(600):
        node.clock.advance(1.0)
        node.keyring.suspect_outdated()
        await settled()
    assert len(store.calls) <= before + 40


async def test_a_malformed_rumor_changes_nothing(store, rumor_bus, running):
    node = Node(store, rumor_bus)
    running(node)

    rumor_bus.publish("peer-secret", "record", 1, b'"x"', 1.0)
    await settled()

    assert store.calls == []


async def test_looks_are_spaced_while_the_store_is_away(
    store, rumor_bus, running
):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await until(lambda: not node.keyring.lacks_secret)
    store.away = True
    before = len(store.calls)

    store.replace(msgspec.json.encode(SecretRecord(b"n" * SECRET_BYTES)))
    for handler in rumor_bus.handlers:
        handler("record", msgspec.json.encode(store.revision))
    await settled()
    assert len(store.calls) == before + 1
    for _ in range(50):
        node.keyring.suspect_outdated()
        await settled()
    assert len(store.calls) == before + 1

    store.away = False
    node.clock.advance(secret_manager._LONGEST_DOUBT_S)
    node.keyring.suspect_outdated()
    await until(lambda: node.keyring.signing_secret == b"n" * SECRET_BYTES)
    assert len(store.calls) == before + 2


async def test_a_rumor_is_followed_at_once_after_doubts(
    store, rumor_bus, running
):
    node = Node(store, rumor_bus)
    node.keyring.set_has_accounts(True, with_grace=False)
    running(node)
    await until(lambda: not node.keyring.lacks_secret)
    node.keyring.suspect_outdated()
    await settled()

    store.replace(msgspec.json.encode(SecretRecord(b"n" * SECRET_BYTES)))
    for handler in rumor_bus.handlers:
        handler("record", msgspec.json.encode(store.revision))

    await until(lambda: node.keyring.signing_secret == b"n" * SECRET_BYTES)
