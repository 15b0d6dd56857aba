"""Authentication by API keys, account fields and quotas at the entry."""

import random

import pytest

from radishwind.accounts import Account
from radishwind.accounts import digest_key
from radishwind.claims.claim_guard import NoClaims
from radishwind.config.model import ServiceRules
from radishwind.core import ManualClock
from radishwind.core import ResultCode
from radishwind.core.freshness import Freshness
from radishwind.entry import AttemptResult
from radishwind.entry import AttemptRunner
from radishwind.entry import EntryPipeline
from radishwind.entry.key_authenticator import KeyAuthenticator
from radishwind.entry.observer import CallObserver
from radishwind.entry.routed_classifier import RoutedClassifier
from radishwind.http import Address
from radishwind.http import Request
from radishwind.http import Response
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.outcomes import Done
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.platform import add_account_field
from radishwind.platform import decode_caller_fields
from radishwind.platform.responses import caller_response
from radishwind.quotas import QuotaGate
from radishwind.retries import CappedRetryPolicy
from radishwind.routes import ActiveRoutes
from radishwind.routes import Route
from radishwind.routes import RouteConfig
from radishwind.routes import WeightedService
from radishwind.routing.baselines import RandomChooser
from radishwind.routing.placement import UnrestrictedPlacement

A = Account("a", (digest_key("key-of-a"),), priority=0)
B = Account("b", (digest_key("key-of-b"),))


def route(prefix, *, public=False):
    return Route(
        f"r{prefix}", "h", prefix, True, (WeightedService("s"),),
        1.0, 0.5, 2, 1, public=public,
    )  # fmt: skip


class SingleTarget(Directory):
    def eligible_members(self, service):
        return (Member("n", "s", "d", Address("127.0.0.1", 1)),)

    def members(self):
        return self.eligible_members("s")


class RecordingRunner(AttemptRunner):
    """Returns a settable outcome and records the calls."""

    def __init__(self):
        self.calls = []
        self.outcome = Done(Response(200))

    async def run(self, call, member, attempt_id):
        self.calls.append(call)
        return AttemptResult(self.outcome)


class SettableFreshness(Freshness):
    def __init__(self):
        self.fresh = True
        self.retry_after_s = None

    def is_fresh(self, now):
        return self.fresh

    def retry_s(self, now):
        return self.retry_after_s


class Quotas(QuotaGate):
    def __init__(self):
        self.remaining = {"a": 1, "b": 1}

    def admit(self, account, now):
        if not self.remaining[account]:
            return 0.25
        self.remaining[account] -= 1
        return None

    def refund(self, account, taken_at, now):
        self.remaining[account] += 1

    def describe(self, account):
        return f"far (lends quota={account})"


class CallRecorder(CallObserver):
    """Records the calls that finished."""

    def __init__(self):
        self.calls = []

    def finished(self, call, outcome, elapsed_s):
        self.calls.append(call)


class RejectionRecorder(CallObserver):
    def __init__(self, rejected):
        self._rejected = rejected

    def finished(self, call, outcome, elapsed_s):
        pass

    def rejected(self, exc):
        self._rejected.append(exc)


class Node:
    def __init__(self, accounts=(A, B)):
        clock = ManualClock()
        self.routes = ActiveRoutes(clock)
        self.adopt(1, accounts)
        self.freshness, self.server = SettableFreshness(), RecordingRunner()
        self.keys = KeyAuthenticator(
            lambda: self.routes.accounts, self.freshness
        )
        self.quotas, self.call_recorder = Quotas(), CallRecorder()
        self.rejections = []
        self.pipeline = EntryPipeline(
            clock=clock,
            classifier=RoutedClassifier(
                clock=clock,
                routes=self.routes,
                rules=ServiceRules(),
                decode_fields=lambda headers: decode_caller_fields(
                    headers, "own", accounts=self.keys.has_accounts
                ),
                normal_run_s=lambda name: 0.0,
                keys=self.keys,
                with_account=add_account_field,
            ),
            placement=UnrestrictedPlacement(SingleTarget()),
            chooser=RandomChooser(random.Random(1)),
            retries=CappedRetryPolicy(),
            runner=self.server,
            claims=NoClaims(),
            respond=caller_response,
            quotas=self.quotas,
            observers=(self.call_recorder, RejectionRecorder(self.rejections)),
        )

    def adopt(self, version, accounts):
        routes = (route("/own/"), route("/open/", public=True))
        cfg = RouteConfig(version, routes, {}, accounts=tuple(accounts))
        self.routes.adopt(cfg, b"", "test")

    async def send(self, *fields, path="/own/x"):
        headers = (("Host", "h"), ("Attempt-Id", "9c"), *fields)
        return await self.pipeline.handle(Request("GET", path, headers))

    def server_fields(self):
        """Returns the fields last sent to the server, names in lower case."""
        headers = self.server.calls[-1].request.headers
        return [(name.lower(), value) for name, value in headers]


def key(text):
    return ("Authorization", f"Token {text}")


@pytest.mark.anyio
async def test_the_server_receives_the_account_and_never_the_key():
    node = Node()

    response = await node.send(
        key("key-of-a"), ("tenant", "b"), ("TENANT", "b"), ("X", "y")
    )

    assert response.status == 200
    assert [v for n, v in node.server_fields() if n == "tenant"] == ["a"]
    assert "authorization" not in dict(node.server_fields())
    assert ("x", "y") in node.server_fields()
    assert "key-of-a" not in repr(node.server.calls[-1])


@pytest.mark.anyio
@pytest.mark.parametrize(
    "fields",
    [
        (),
        (key("unknown"),),
        (("Authorization", "key-of-a"),),
        (("Authorization", "Bearer key-of-a"),),
        (("Authorization", "Token key-of-a key-of-a"),),
        (("Authorization", "Token"),),
        (("Authorization", ""),),
        (key("key-of-a"), key("key-of-a")),
        (key("key-of-a"), key("key-of-b")),
        (("Tenant", "a"),),
    ],
)
async def test_request_without_exactly_one_valid_key_is_rejected(fields):
    node = Node()

    response = await node.send(*fields)

    assert response.status == 401
    headers = dict(response.headers)
    assert headers["WWW-Authenticate"] == "Token"
    assert "Retry-After" not in headers
    assert not node.server.calls
    assert node.keys.refused_count == 1
    assert b"key-of-a" not in response.body


@pytest.mark.anyio
@pytest.mark.parametrize("fields", [(), (key("unknown"),), (("Tenant", "a"),)])
async def test_public_route_accepts_anonymous_requests(fields):
    node = Node()

    response = await node.send(*fields, path="/open/x")

    assert response.status == 200
    assert not {"tenant", "authorization"} & {
        n for n, _ in node.server_fields()
    }


@pytest.mark.anyio
async def test_valid_key_on_a_public_route_identifies_the_account():
    node = Node()

    await node.send(key("key-of-b"), path="/open/x")

    assert ("tenant", "b") in node.server_fields()


@pytest.mark.anyio
async def test_without_accounts_the_account_fields_are_forwarded():
    node = Node(accounts=())

    response = await node.send(("Authorization", "Basic x"), ("Tenant", "t"))

    assert response.status == 200
    assert ("authorization", "Basic x") in node.server_fields()
    assert ("tenant", "t") in node.server_fields()


@pytest.mark.anyio
async def test_keys_follow_the_newest_configuration_version():
    node = Node()
    moved = Account("b", (digest_key("key-of-a"),))

    node.adopt(2, [Account("a", ()), moved])
    await node.send(key("key-of-a"))
    assert ("tenant", "b") in node.server_fields()

    node.adopt(3, [Account("a", ())])
    assert (await node.send(key("key-of-a"))).status == 401


@pytest.mark.anyio
async def test_observers_receive_the_id_and_code_of_a_rejection():
    node = Node()

    await node.send(key("unknown"))

    (rejection,) = node.rejections
    assert (rejection.call_id, rejection.code) == ("9c", ResultCode.KEY_REFUSED)


@pytest.mark.anyio
async def test_without_freshness_a_request_with_a_key_is_not_run():
    node = Node()
    node.freshness.fresh = False

    response = await node.send(key("key-of-a"))

    assert response.status == 503
    assert "Retry-After" in dict(response.headers)
    assert not node.server.calls
    assert (await node.send(path="/open/x")).status == 200


@pytest.mark.anyio
async def test_without_freshness_the_retry_time_is_when_it_is_likely_again():
    node = Node()
    node.freshness.fresh, node.freshness.retry_after_s = False, 1.25

    response = await node.send(key("key-of-a"))

    assert dict(response.headers)["Retry-After"] == "1.250"
    assert node.keys.unproven_count == 1


@pytest.mark.anyio
async def test_request_without_a_key_needs_no_freshness():
    node = Node()
    node.freshness.fresh = False

    assert (await node.send()).status == 401
    assert (await node.send(path="/open/x")).status == 200
    assert node.keys.unproven_count == 0


@pytest.mark.anyio
async def test_without_freshness_a_request_of_a_public_route_is_anonymous():
    node = Node()
    node.freshness.fresh = False

    response = await node.send(key("key-of-b"), path="/open/x")

    assert response.status == 200
    assert not {"tenant", "authorization"} & {
        n for n, _ in node.server_fields()
    }


@pytest.mark.anyio
async def test_priority_of_the_account_overrides_that_of_the_route():
    node = Node()

    await node.send(key("key-of-a"))
    await node.send(key("key-of-b"))

    assert [call.priority for call in node.server.calls] == [0, 2]


@pytest.mark.anyio
async def test_request_over_its_quota_is_refused_with_a_retry_time():
    node = Node()

    first = await node.send(key("key-of-a"))
    second = await node.send(key("key-of-a"))
    other = await node.send(key("key-of-b"))

    assert (first.status, second.status, other.status) == (200, 429, 200)
    assert dict(second.headers)["Retry-After"] == "0.250"
    assert len(node.server.calls) == 2


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("outcome", "left"),
    [
        (NotRun(ResultCode.OVERLOADED, "full"), 1),
        (Unknown(ResultCode.EXCHANGE_BROKEN, "broke"), 0),
        (Done(Response(500)), 0),
    ],
)
async def test_only_calls_that_did_not_run_are_given_back_to_the_quota(
    outcome, left
):
    node = Node()
    node.server.outcome = outcome

    await node.send(key("key-of-a"))

    assert node.quotas.remaining["a"] == left


@pytest.mark.anyio
async def test_refusal_over_quota_logs_the_lender_and_reaches_no_server():
    node = Node()
    node.quotas.remaining["a"] = 0

    answer = await node.send(key("key-of-a"))

    assert answer.status == 429
    assert dict(answer.headers)["Retry-After"] == "0.250"
    assert node.call_recorder.calls[0].steps == ["far (lends quota=a)"]
    assert not node.server.calls
