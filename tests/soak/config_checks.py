"""Checks that each acknowledged configuration is in force in time.

A probe asks a node for two kinds of routes: the ones that changes added, and
one that changes move between services. A 404 for an added route is wrong at any
node once the bound has passed. A run by the former service is wrong at a node
that is in touch: undisturbed, with an undisturbed store, for `STABLE_S`.
"""

import asyncio
import dataclasses
import itertools
from typing import Any
import uuid

import aiohttp

from radishwind.standins.platform_fleet import Fleet
from radishwind.standins.platform_fleet import HOST
from radishwind.standins.platform_fleet import Instance
from radishwind.standins.platform_fleet import route
from radishwind.standins.platform_server import PlatformServerStandin
from tests.soak.account_keys import AccountKeys
from tests.soak.account_keys import UNLIMITED_ACCOUNT

#: A change must be in force at every node in touch this long after its
#: acknowledgement (s).
CONFIG_BOUND_S = 2.0

#: A node is in touch once it and the store were undisturbed for this long (s).
STABLE_S = 3.0

#: Interval between the probes of a node (s).
_PROBE_INTERVAL_S = 0.15

#: Added routes that stay in the configuration; older ones are dropped.
_MAX_ADDED_ROUTES = 60

_MOVED_PREFIX = "/moved/"
_SERVICES = ("library", "sessions")


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """An acknowledged configuration.

    Attributes:
      acked_at: when the store acknowledged it (monotonic s).
      prefix: prefix of the route that it added.
      service: service of the moved route.
    """

    acked_at: float
    prefix: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """A request of the moved route.

    Attributes:
      request_id: identifies the request.
      node: name of the node that it was sent to.
      sent_at: when it was sent (monotonic s).
    """

    request_id: str
    node: str
    sent_at: float


class ConfigurationChecks:
    """The changes, what disturbed nodes and the store, and what probes saw.

    Attributes:
      violations: the denials of added routes.
      probe_count: the number of probes answered by a run or a denial.
    """

    def __init__(self, accounts: AccountKeys | None) -> None:
        """Creates the checks.

        Args:
          accounts: source of the keys that probes carry; `None` for no keys.
        """
        self._accounts = accounts
        self._changes: list[Change] = []
        self._probes: list[Probe] = []
        self._node_disturbances: dict[str, list[float]] = {}
        self._store_disturbances: list[tuple[float, float]] = []
        self._store_disturbance_count = 0
        self._store_disturbed_since = 0.0
        self.violations: list[str] = []
        self.probe_count = 0

    def routes(self) -> list[dict[str, Any]]:
        """Returns the routes of the next change, which adds and moves one."""
        number = len(self._changes)
        service = _SERVICES[number % 2]
        added = [
            *(c.prefix for c in self._changes[-_MAX_ADDED_ROUTES:]),
            f"/added-{number}/",
        ]
        return [
            *(
                route("library", "safe", name=f"r{prefix}", prefix=prefix)
                for prefix in added
            ),
            route(service, "unsafe", name="r-moved", prefix=_MOVED_PREFIX),
        ]

    def record_change(self, acked_at: float) -> None:
        """Records that the change with `routes` was acknowledged."""
        number = len(self._changes)
        self._changes.append(
            Change(acked_at, f"/added-{number}/", _SERVICES[number % 2])
        )

    def record_node_disturbance(self, node: str, now: float) -> None:
        """Records that `node` was disturbed at this moment."""
        self._node_disturbances.setdefault(node, []).append(now)

    def begin_store_disturbance(self, now: float) -> None:
        """Records that a disturbance of the store begins; they may overlap."""
        if not self._store_disturbance_count:
            self._store_disturbed_since = now
        self._store_disturbance_count += 1

    def end_store_disturbance(self, now: float) -> None:
        """Records that a disturbance of the store has ended."""
        self._store_disturbance_count -= 1
        if not self._store_disturbance_count:
            self._store_disturbances.append((self._store_disturbed_since, now))

    async def probe(self, instance: Instance, stop: asyncio.Event) -> None:
        """Probes a node until `stop` is set."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for number in itertools.count():
                if stop.is_set():
                    return
                prefix = _MOVED_PREFIX
                if number % 2:
                    prefix = self._changes[-1].prefix
                await self._send(session, instance, prefix)
                await asyncio.sleep(_PROBE_INTERVAL_S)

    async def _send(
        self, session: aiohttp.ClientSession, instance: Instance, prefix: str
    ) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        name = instance.place.name
        request_id = uuid.uuid4().hex[:16]
        headers = {"Host": HOST, "Attempt-Id": request_id, "Timeout-Ms": "900"}
        if self._accounts is not None:
            headers["Authorization"] = self._accounts.authorize(
                request_id, UNLIMITED_ACCOUNT
            )
        url = f"http://{instance.caller_address}{prefix}x"
        try:
            async with session.post(url, headers=headers) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            # A probe without an answer tells nothing of the configuration.
            return
        if prefix == _MOVED_PREFIX:
            self._probes.append(Probe(request_id, name, sent_at))
        self.probe_count += status in (200, 404)
        if status == 404 and self._is_due(prefix, sent_at):
            self.violations.append(
                f"{request_id}: 404 of {name} for {prefix}, which was added "
                f"{sent_at - self._added_at(prefix):.2f} s before"
            )

    def _added_at(self, prefix: str) -> float:
        if prefix == _MOVED_PREFIX:
            return self._changes[0].acked_at
        return next(c.acked_at for c in self._changes if c.prefix == prefix)

    def _is_due(self, prefix: str, sent_at: float) -> bool:
        return sent_at - self._added_at(prefix) > CONFIG_BOUND_S

    def find_violations(
        self, servers: list[PlatformServerStandin], fleet: Fleet
    ) -> list[str]:
        """Returns the denials, and the runs by a former service."""
        services = {
            request_id: server.service
            for server in servers
            for request_id in server.runs
        }
        found = list(self.violations)
        for probe in self._probes:
            ran = services.get(probe.request_id)
            if ran is None or not self._was_in_touch(probe):
                continue
            if ran not in self._allowed_services(probe.sent_at):
                found.append(
                    f"{probe.request_id}: run by {ran} from {probe.node} at "
                    f"{probe.sent_at:.2f}, as only an older version allows"
                )
        injected = sum(fleet.store.injected.values())
        print(f"probes: {self.probe_count}, store faults: {injected}")
        return found

    def _was_in_touch(self, probe: Probe) -> bool:
        since = probe.sent_at - STABLE_S
        disturbed = self._node_disturbances.get(probe.node, ())
        if any(since <= moment <= probe.sent_at + 1 for moment in disturbed):
            return False
        return not any(
            start <= probe.sent_at + 1 and end >= since
            for start, end in self._store_disturbances
        )

    def _allowed_services(self, sent_at: float) -> set[str]:
        """Returns the services that versions in force may send to."""
        allowed = set()
        for change, following in itertools.zip_longest(
            self._changes, self._changes[1:]
        ):
            is_replaced = (
                following is not None
                and following.acked_at + CONFIG_BOUND_S < sent_at
            )
            if not is_replaced:
                allowed.add(change.service)
        return allowed
