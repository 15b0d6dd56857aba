"""Classifies requests by the routes in force."""

from collections.abc import Callable

import msgspec

from radishwind.accounts import Account
from radishwind.config.model import ServiceRules
from radishwind.core.clock import Clock
from radishwind.core.codes import ResultCode
from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.call import ServiceUnknownError
from radishwind.entry.classifier import Classifier
from radishwind.entry.fan_out import FanOutDetector
from radishwind.entry.key_authenticator import KeyAuthenticator
from radishwind.entry.nested_routes import NestedRouteDetector
from radishwind.entry.retry_age import RetryAgeEstimator
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.routes.in_force import RoutesInForce
from radishwind.routes.model import Route

#: Where no deadline is told as time of day: it may jump, so none hangs on it.
NO_WALL_DEADLINE_MS = 2**52


class RoutesUnknownError(CallRejectedError):
    """This node knows no configuration yet."""

    code = ResultCode.ROUTES_UNKNOWN


class CallerFields(msgspec.Struct, frozen=True):
    """What a caller tells of its request in header fields, decoded.

    Attributes:
      request_id: names this sending, unique.
      timeout_ms: how long the caller waits (ms); `None` if it does not tell.
      host: the host it asks for, lower case, without port.
      headers: the fields that go on to the backend server.
      keys: the keys that it carries, read only where there are accounts; an
        empty text for one that is malformed.
    """

    request_id: str
    timeout_ms: int | None
    host: str
    headers: Headers
    keys: tuple[str, ...] = ()


class RoutedClassifier(Classifier):
    """Finds the route of a request and takes its treatment from there."""

    def __init__(
        self,
        *,
        clock: Clock,
        routes: RoutesInForce,
        rules: ServiceRules,
        decode_fields: Callable[[Headers], CallerFields],
        work_s: Callable[[str], float],
        keys: KeyAuthenticator,
        with_account: Callable[[Headers, str], Headers],
        retry_ages: RetryAgeEstimator | None = None,
        fan_outs: FanOutDetector | None = None,
        nested_routes: NestedRouteDetector | None = None,
    ) -> None:
        """Makes a classifier.

        Args:
          clock: the clock.
          routes: the routes in force.
          rules: of every service, where its routes don't say.
          decode_fields: decodes what a caller tells in header fields.
          work_s: returns the usual run time of a route (s).
          keys: finds the account of a request.
          with_account: returns header fields that tell a backend server the
            name of an account beside those given.
          retry_ages: tells how long ago a caller first asked; by default each
            request counts as its caller's first.
          fan_outs: draws lots for those that belong together; by default none
            do.
          nested_routes: tells calls of the server beside from requests of
            callers; by default none count as such.
        """
        self._clock = clock
        self._routes = routes
        self._rules = rules
        self._decode_fields = decode_fields
        self._work_s = work_s
        self._keys = keys
        self._with_account = with_account
        self._retry_ages = retry_ages
        self._fan_outs = fan_outs
        self._nested_routes = nested_routes

    def is_idempotent(self, request: Request) -> bool:
        """Returns whether a route takes `request` and lets it run twice.

        Asked of pipelined requests only; one that is malformed waits for its
        turn, where it is refused.
        """
        try:
            told = self._decode_fields(request.headers)
        except CallRejectedError:
            return False
        if self._routes.cfg is None:
            return False
        route = self._routes.table.match(told.host, request.path)
        return route is not None and route.idempotent

    def classify(self, request: Request) -> Call:
        told = self._decode_fields(request.headers)
        try:
            return self._classified(request, told)
        except CallRejectedError as exc:
            exc.call_id = told.request_id
            raise

    def _classified(self, request: Request, told: CallerFields) -> Call:
        """Returns the call of a `request` that told what is read.

        Raises:
          CallRejectedError: it has no route, or no key that it needs.
        """
        if self._routes.cfg is None:
            raise RoutesUnknownError("expected a configuration, got none yet")
        route = self._routes.table.match(told.host, request.path)
        if route is None:
            raise ServiceUnknownError(
                f"expected a host and path of a route of version "
                f"{self._routes.version}, got host {told.host[:80]!r} and "
                f"path {request.path[:80]!r}"
            )
        now = self._clock.monotonic()
        account = self._account(told, route, now)
        timeout_s = route.timeout_s
        age_s = group_rank = 0.0
        if told.timeout_ms is not None:
            told_s = told.timeout_ms / 1000
            timeout_s = min(timeout_s, told_s)
            if self._retry_ages is not None:
                age_s = self._retry_ages.age_s(route.name, told_s, now)
            if self._fan_outs is not None:
                group_rank = self._fan_outs.group_rank(
                    route.name, told.timeout_ms, now
                )
        headers, priority = told.headers, route.priority
        if account is not None:
            headers = self._with_account(headers, account.name)
            if account.priority is not None:
                priority = account.priority
        return Call(
            call_id=told.request_id,
            service=self._routes.table.service_of(route),
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
            work_s=self._work_s(route.name),
            group_rank=group_rank,
            account=account.name if account else "",
            is_external=self._is_callers(route, account),
        )

    def _depth(self, route: Route, account: Account | None, now: float) -> int:
        """Returns 1 for a call of the server beside, which carries no key."""
        if self._nested_routes is None or account is not None:
            return 0
        return int(self._nested_routes.observe(route.name, now))

    def _is_callers(self, route: Route, account: Account | None) -> bool:
        """Returns whether a caller surely sent a request of `route`."""
        if self._nested_routes is None or account is not None:
            return True
        return self._nested_routes.is_external(route.name)

    def _account(
        self, told: CallerFields, route: Route, now: float
    ) -> Account | None:
        """Returns whose request it is; `None` where there are no accounts."""
        if not self._keys.in_use:
            return None
        return self._keys.authenticate(told.keys, public=route.public, now=now)
