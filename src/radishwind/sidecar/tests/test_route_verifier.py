"""A version that no operator made doesn't outlive the lack of the secret."""

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

pytestmark = pytest.mark.anyio

ROUTE = Route("r", "h", "/", True, (WeightedService("s"),), 1.0, 0.5, 1, 2)
ACCOUNTS = (Account("ward-7", (b"d",)),)
WITHIN_S = 10.0


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(autouse=True)
def short(monkeypatch):
    monkeypatch.setattr(route_verifier, "_AGAIN_S", 0.001)


def decode(raw):
    if not raw.isdigit():
        raise PlatformMalformedError("expected digits")
    return RouteConfig(int(raw), (ROUTE,), {})


class Node:
    """Knows no secret; the store has version 7."""

    def __init__(self):
        clock = ManualClock()
        self.keyring = Keyring(clock)
        self.routes = ActiveRoutes(clock)
        self.value = b"7"
        self.away = False
        self.behind = False
        self.meanwhile = None
        self.calls = 0
        self.forged = []
        self.task = RouteVerifier(
            keyring=self.keyring,
            routes=self.routes,
            store=self,
            key="k",
            decode=decode,
            clock=clock,
            forged=lambda: self.forged.append(1),
        )

    async def get(self, key, *, allow_stale=False):
        self.calls += 1
        await anyio.lowlevel.checkpoint()
        if self.away:
            raise StoreUnavailableError("away")
        if self.meanwhile and not allow_stale:
            self.meanwhile()
        if allow_stale and self.behind:
            return None
        return StoreEntry(key, self.value, 1, 1) if self.value else None

    def adopt(self, version, source, accounts=ACCOUNTS, raw=None):
        cfg = RouteConfig(version, (ROUTE,), {}, accounts=accounts)
        self.routes.adopt(cfg, raw or str(version).encode(), source)
        self.keyring.set_has_accounts(bool(accounts), with_grace=False)


@pytest.fixture
async def node():
    made = Node()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(made.task.run)
        yield made
        tasks.cancel_scope.cancel()


async def settled():
    for _ in range(50):
        await anyio.lowlevel.checkpoint()


async def until(check):
    with anyio.fail_after(WITHIN_S):
        while not check():  # noqa: ASYNC110
            await anyio.sleep(0.001)


@pytest.mark.parametrize("accounts", [ACCOUNTS, ()])
async def test_version_beyond_the_stores_is_found_out(node, accounts):
    node.adopt(999, "peer 10.6.6.6", accounts)
    await settled()
    assert node.calls == 0

    node.keyring.update_secret(b"s" * 32, 1)

    await until(lambda: node.forged)
    assert node.calls == 2
    assert node.keyring.signing_secret is None


@pytest.mark.parametrize("behind", [False, True])
async def test_other_content_of_the_stores_version_is_found_out(node, behind):
    node.behind = behind
    node.adopt(7, "peer 10.6.6.6", raw=b"07")

    node.keyring.update_secret(b"s" * 32, 1)

    await until(lambda: node.forged)
    assert node.calls == 2
    assert node.keyring.signing_secret is None


async def test_version_where_the_store_has_none_is_found_out(node):
    node.value = None
    node.adopt(1, "peer 10.6.6.6")

    node.keyring.update_secret(b"s" * 32, 1)

    await until(lambda: node.forged)


@pytest.mark.parametrize("version", [5, 7])
async def test_version_of_the_operator_stays(node, version):
    node.adopt(version, "peer 10.0.0.2")

    node.keyring.update_secret(b"s" * 32, 1)
    await settled()

    assert node.calls == 1
    assert not node.forged
    assert node.keyring.signing_secret is not None


async def test_an_old_answer_of_the_store_proves_nothing(node):
    node.behind = True
    node.adopt(7, "peer 10.0.0.2")

    node.keyring.update_secret(b"s" * 32, 1)
    await settled()

    assert node.calls == 2
    assert not node.forged


@pytest.mark.parametrize("source", ["store", "peer 10.0.0.3"])
async def test_a_newer_version_that_comes_meanwhile_is_not_forged(node, source):
    node.behind = True
    node.meanwhile = lambda: node.adopt(9, source)
    node.adopt(7, "peer 10.0.0.2")

    node.keyring.update_secret(b"s" * 32, 1)
    await settled()

    assert node.calls == 2
    assert not node.forged
    assert node.keyring.signing_secret is not None


async def test_what_replaces_a_forged_version_meanwhile_is_compared(node):
    def replaced():
        node.meanwhile = None
        node.adopt(9, "peer 10.0.0.3")

    node.behind = True
    node.meanwhile = replaced
    node.adopt(8, "peer 10.6.6.6")
    node.keyring.update_secret(b"s" * 32, 1)
    await until(lambda: node.calls == 2)
    assert not node.forged
    assert node.keyring.signing_secret is None
    node.value = b"9"

    await until(lambda: node.keyring.signing_secret is not None)
    assert not node.forged


async def test_store_that_is_away_is_asked_again(node):
    node.away = True
    node.adopt(999, "peer 10.6.6.6")
    node.keyring.update_secret(b"s" * 32, 1)
    await until(lambda: node.calls >= 3)
    assert not node.forged
    assert node.keyring.signing_secret is None

    node.away = False

    await until(lambda: node.forged)


async def test_what_came_from_the_store_or_signed_costs_no_call(node):
    node.adopt(3, "peer 10.0.0.2")
    node.adopt(7, "store")
    node.keyring.update_secret(b"s" * 32, 1)
    node.adopt(9, "peer 10.0.0.2")
    await settled()

    assert node.calls == 0


async def test_without_a_secret_no_call_is_made(node):
    node.adopt(3, "peer 10.0.0.2", ())
    await settled()

    assert node.calls == 0


async def test_store_that_nobody_can_read_changes_nothing(node):
    node.value = b"x"
    node.adopt(999, "peer 10.6.6.6")
    node.keyring.update_secret(b"s" * 32, 1)
    await settled()

    assert node.calls == 1
    assert not node.forged
