"""A forged version is detected once the fleet secret is known."""

import anyio
import anyio.lowlevel
import pytest

from radishwind.accounts import Account
from radishwind.core import ManualClock
from radishwind.peers.keyring import Keyring
from radishwind.platform.errors import PlatformMalformedError
from radishwind.routes import ActiveRoutes
from radishwind.routes import Route
from radishwind.routes import RouteConfig
from radishwind.routes import WeightedService
from radishwind.sidecar import route_verifier
from radishwind.sidecar.route_verifier import RouteVerifier
from radishwind.store.base import StoreEntry
from radishwind.store.base import StoreUnavailableError
from radishwind.store.position import StorePosition

pytestmark = pytest.mark.anyio

ROUTE = Route("r", "h", "/", True, (WeightedService("s"),), 1.0, 0.5, 1, 2)
ACCOUNTS = (Account("ward-7", (b"d",)),)
WITHIN_S = 10.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(autouse=True)
def shorten_delays(monkeypatch):
    monkeypatch.setattr(route_verifier, "_RETRY_DELAY_S", 0.001)


def decode(raw):
    if not raw.isdigit():
        raise PlatformMalformedError("expected digits")
    return RouteConfig(int(raw), (ROUTE,), {})


class Node:
    """A node without the secret, and the store, which has version 7."""

    def __init__(self):
        clock = ManualClock()
        self.keyring = Keyring(clock)
        self.routes = ActiveRoutes(clock)
        self.value = b"7"
        self.is_unavailable = False
        self.stale_reads_lag = False
        self.during_read = None
        self.calls = 0
        self.forged = []
        self.task = RouteVerifier(
            keyring=self.keyring,
            routes=self.routes,
            store=self,
            key="k",
            decode=decode,
            clock=clock,
            on_forged=lambda: self.forged.append(1),
        )

    async def get(self, key, *, allow_stale=False):
        self.calls += 1
        await anyio.lowlevel.checkpoint()
        if self.is_unavailable:
            raise StoreUnavailableError("unavailable")
        if self.during_read and not allow_stale:
            self.during_read()
        if allow_stale and self.stale_reads_lag:
            return None
        return StoreEntry(key, self.value, 1, 1) if self.value else None

    def adopt(self, version, source, accounts=ACCOUNTS, raw=None):
        cfg = RouteConfig(version, (ROUTE,), {}, accounts=accounts)
        self.routes.adopt(cfg, raw or str(version).encode(), source)
        self.keyring.set_has_accounts(bool(accounts), with_grace=False)


@pytest.fixture
async def node():
    node = Node()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(node.task.run)
        yield node
        tasks.cancel_scope.cancel()


async def settle():
    for _ in range(50):
        await anyio.lowlevel.checkpoint()


async def wait_until(check):
    with anyio.fail_after(WITHIN_S):
        while not check():  # noqa: ASYNC110
            await anyio.sleep(0.001)


@pytest.mark.parametrize("accounts", [ACCOUNTS, ()])
async def test_version_newer_than_stored_is_forged(node, accounts):
    node.adopt(999, "peer 10.6.6.6", accounts)
    await settle()
    assert node.calls == 0

    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))

    await wait_until(lambda: node.forged)
    assert node.calls == 2
    assert node.keyring.signing_secret is None


@pytest.mark.parametrize("behind", [False, True])
async def test_other_content_of_stored_version_is_forged(node, behind):
    node.stale_reads_lag = behind
    node.adopt(7, "peer 10.6.6.6", raw=b"07")

    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))

    await wait_until(lambda: node.forged)
    assert node.calls == 2
    assert node.keyring.signing_secret is None


async def test_version_without_stored_routes_is_forged(node):
    node.value = None
    node.adopt(1, "peer 10.6.6.6")

    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))

    await wait_until(lambda: node.forged)


@pytest.mark.parametrize("version", [5, 7])
async def test_version_of_operator_is_accepted(node, version):
    node.adopt(version, "peer 10.0.0.2")

    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))
    await settle()

    assert node.calls == 1
    assert not node.forged
    assert node.keyring.signing_secret is not None


async def test_stale_read_without_routes_proves_nothing(node):
    node.stale_reads_lag = True
    node.adopt(7, "peer 10.0.0.2")

    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))
    await settle()

    assert node.calls == 2
    assert not node.forged


@pytest.mark.parametrize("source", ["store", "peer 10.0.0.3"])
async def test_newer_version_adopted_during_read_is_not_forged(node, source):
    node.stale_reads_lag = True
    node.during_read = lambda: node.adopt(9, source)
    node.adopt(7, "peer 10.0.0.2")

    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))
    await settle()

    assert node.calls == 2
    assert not node.forged
    assert node.keyring.signing_secret is not None


async def test_replacement_adopted_during_read_is_compared(node):
    def replace():
        node.during_read = None
        node.adopt(9, "peer 10.0.0.3")

    node.stale_reads_lag = True
    node.during_read = replace
    node.adopt(8, "peer 10.6.6.6")
    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))
    await wait_until(lambda: node.calls == 2)
    assert not node.forged
    assert node.keyring.signing_secret is None
    node.value = b"9"

    await wait_until(lambda: node.keyring.signing_secret is not None)
    assert not node.forged


async def test_comparison_is_retried_while_store_is_unavailable(node):
    node.is_unavailable = True
    node.adopt(999, "peer 10.6.6.6")
    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))
    await wait_until(lambda: node.calls >= 3)
    assert not node.forged
    assert node.keyring.signing_secret is None

    node.is_unavailable = False

    await wait_until(lambda: node.forged)


async def test_routes_from_store_or_authenticated_peer_need_no_call(node):
    node.adopt(3, "peer 10.0.0.2")
    node.adopt(7, "store")
    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))
    node.adopt(9, "peer 10.0.0.2")
    await settle()

    assert node.calls == 0


async def test_without_secret_store_is_not_called(node):
    node.adopt(3, "peer 10.0.0.2", ())
    await settle()

    assert node.calls == 0


async def test_malformed_stored_routes_change_nothing(node):
    node.value = b"x"
    node.adopt(999, "peer 10.6.6.6")
    node.keyring.update_secret(b"s" * 32, StorePosition(0, 1))
    await settle()

    assert node.calls == 1
    assert not node.forged
