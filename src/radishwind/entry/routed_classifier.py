"""Classifies requests by the current route configuration."""

from collections.abc import Callable

import msgspec

from radishwind.accounts import Account
from radishwind.config.model import ServiceRules
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.core.freshness import AlwaysFresh
from radishwind.core.freshness import Freshness
from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.call import ServiceUnknownError
from radishwind.entry.classifier import Classifier
from radishwind.entry.fan_out import FanOutDetector
from radishwind.entry.key_authenticator import KeyAuthenticator
from radishwind.entry.key_authenticator import KeyRefusedError
from radishwind.entry.nested_routes import NestedRouteDetector
from radishwind.entry.retry_age import RetryAgeEstimator
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.model import Route

#: `Call.expires_ms` of routed calls, which have no wall-clock deadline: the
#: wall clock may jump, so that no deadline must depend on it.
NO_WALL_DEADLINE_MS = 2**52


class RoutesUnknownError(CallRejectedError):
    """This node has received no route configuration yet."""

    code = ResultCode.ROUTES_UNKNOWN


class RoutesUnprovenError(CallRejectedError):
    """A newer configuration may allow the request that this one denies."""

    code = ResultCode.ROUTES_UNPROVEN

    def __init__(self, retry_after_s: float | None) -> None:
        super().__init__(
            "expected a proof that the configuration is up to date, got none"
        )
        self.retry_after_s = retry_after_s


class CallerFields(msgspec.Struct, frozen=True):
    """The decoded header fields of a caller's request.

    Attributes:
      request_id: unique id of this sending of the request.
      timeout_ms: how long the caller waits (ms); `None` if it is not stated.
      host: the requested host in lower case, without port.
      headers: the fields that are forwarded to the backend server.
      keys: the API keys of the request, read only if there are accounts; an
        empty text for a malformed one.
    """

    request_id: str
    timeout_ms: int | None
    host: str
    headers: Headers
    keys: tuple[str, ...] = ()


class RoutedClassifier(Classifier):
    """Classifies a request by the route that it matches.

    Attributes:
      unproven_count: number of requests rejected since the configuration that
        denies them is not proven to be up to date.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        routes: ActiveRoutes,
        rules: ServiceRules,
        decode_fields: Callable[[Headers], CallerFields],
        normal_run_s: Callable[[str], float],
        keys: KeyAuthenticator,
        with_account: Callable[[Headers, str], Headers],
        freshness: Freshness | None = None,
        retry_ages: RetryAgeEstimator | None = None,
        fan_outs: FanOutDetector | None = None,
        nested_routes: NestedRouteDetector | None = None,
    ) -> None:
        """Creates a classifier.

        Args:
          clock: the clock.
          routes: the current route configuration.
          rules: the rules of every service, for what its routes don't set.
          decode_fields: decodes the header fields of a caller.
          normal_run_s: returns the run time of a route at a server of normal
            speed (s).
          keys: authenticates requests.
          with_account: returns the given header fields and one with the name
            of an account, for the backend server.
          freshness: whether the configuration is recent enough to deny a
            request for good; by default it always is.
          retry_ages: estimates how long ago a caller first sent a request; by
            default each request counts as the first.
          fan_outs: detects calls of one fan-out; by default there are none.
          nested_routes: detects calls of the local backend server; by default
            all requests count as requests of external callers.
        """
        self._clock = clock
        self._routes = routes
        self._rules = rules
        self._decode_fields = decode_fields
        self._normal_run_s = normal_run_s
        self._keys = keys
        self._with_account = with_account
        self._freshness = freshness or AlwaysFresh()
        self.unproven_count = 0
        self._retry_ages = retry_ages
        self._fan_outs = fan_outs
        self._nested_routes = nested_routes

    def is_idempotent(self, request: Request) -> bool:
        """Returns whether `request` matches an idempotent route.

        Used for pipelined requests only. Returns `False` for a malformed
        request, which is then rejected when its turn comes.
        """
        try:
            fields = self._decode_fields(request.headers)
        except CallRejectedError:
            return False
        if self._routes.cfg is None:
            return False
        route = self._routes.table.match(fields.host, request.path)
        return route is not None and route.idempotent

    def classify(self, request: Request) -> Call:
        fields = self._decode_fields(request.headers)
        try:
            return self._classify(request, fields)
        except CallRejectedError as exc:
            exc.call_id = fields.request_id
            raise

    def _classify(self, request: Request, fields: CallerFields) -> Call:
        """Returns the call of `request`, whose header fields are `fields`.

        Raises:
          CallRejectedError: it matches no route, or lacks a required key.
        """
        if self._routes.cfg is None:
            raise RoutesUnknownError(
                "expected a route configuration, got none yet"
            )
        route = self._routes.table.match(fields.host, request.path)
        now = self._clock.monotonic()
        if route is None:
            self._check_proven(now)
            raise ServiceUnknownError(
                f"expected a host and path of a route of version "
                f"{self._routes.version}, got host {fields.host[:80]!r} and "
                f"path {request.path[:80]!r}"
            )
        account = self._account(fields, route, now)
        timeout_s = route.timeout_s
        age_s = group_rank = 0.0
        if fields.timeout_ms is not None:
            stated_timeout_s = fields.timeout_ms / 1000
            timeout_s = min(timeout_s, stated_timeout_s)
            if self._retry_ages is not None:
                age_s = self._retry_ages.age_s(
                    route.name, stated_timeout_s, now
                )
            if self._fan_outs is not None:
                group_rank = self._fan_outs.group_rank(
                    route.name, fields.timeout_ms, now
                )
        headers, priority = fields.headers, route.priority
        if account is not None:
            headers = self._with_account(headers, account.name)
            if account.priority is not None:
                priority = account.priority
        return Call(
            call_id=fields.request_id,
            service=self._routes.table.next_service(route),
            request=msgspec.structs.replace(request, headers=headers),
            rules=self._rules,
            idempotent=route.idempotent,
            deadline=now + timeout_s,
            expires_ms=NO_WALL_DEADLINE_MS,
            caller=request.remote,
            depth=self._depth(route, account, now),
            aim=now + max(0.0, min(route.aim_s - age_s, timeout_s)),
            priority=priority,
            max_server_attempts=route.attempts,
            route=route.name,
            regions=route.regions,
            normal_run_s=self._normal_run_s(route.name),
            group_rank=group_rank,
            account=account.name if account else "",
            is_external=self._is_external(route, account),
        )

    def _depth(self, route: Route, account: Account | None, now: float) -> int:
        """Returns 1 for a call of the local backend server, else 0.

        Calls of the backend server carry no key.
        """
        if self._nested_routes is None or account is not None:
            return 0
        return int(self._nested_routes.observe(route.name, now))

    def _is_external(self, route: Route, account: Account | None) -> bool:
        """Returns whether a request is known to be of an external caller."""
        if self._nested_routes is None or account is not None:
            return True
        return self._nested_routes.is_external(route.name)

    def _account(
        self, fields: CallerFields, route: Route, now: float
    ) -> Account | None:
        """Returns the account of a request; `None` if there are no accounts.

        Raises:
          CallRejectedError: the request lacks a required key.
        """
        if not self._keys.has_accounts:
            return None
        try:
            return self._keys.authenticate(
                fields.keys, public=route.public, now=now
            )
        except KeyRefusedError:
            if fields.keys:
                self._check_proven(now)
            raise

    def _check_proven(self, now: float) -> None:
        """Raises unless the configuration may deny a request for good.

        Raises:
          RoutesUnprovenError: a newer one may be in force by now.
        """
        if self._freshness.is_fresh(now):
            return
        self.unproven_count += 1
        raise RoutesUnprovenError(self._freshness.retry_s(now))
