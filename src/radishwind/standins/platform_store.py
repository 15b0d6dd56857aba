"""An in-memory stand-in for the platform's store, with fault injection.

It implements the published calls: items with revisions, paged ranges, watches,
transactions and leases. Each call is counted. Faults are set at run time by
posting JSON to `FAULTS_PATH`.
"""

import asyncio
import base64
import collections
from collections.abc import Mapping
import dataclasses
from typing import Any

from aiohttp import web
import msgspec

from radishwind.core.clock import Clock
from radishwind.standins.store_faults import FaultInjector
from radishwind.standins.store_faults import never_respond
from radishwind.standins.store_faults import node_of
from radishwind.standins.store_faults import send_fault
from radishwind.standins.store_faults import StoreFaults

FAULTS_PATH = "/standin/faults"
COUNTERS_PATH = "/standin/counters"

#: The maximum number of items in a page of a range, and of entries in a
#: transaction.
MAX_PAGE_ITEMS = 500
MAX_TRANSACTION_ENTRIES = 32

#: Prefix of the keys that only the operator may write.
OPERATOR_PREFIX = "op/"

#: Interval between checks for expired leases (s).
_LEASE_CHECK_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class StoreCopy:
    """A copy of the whole store.

    Attributes:
      items: the items by key.
      history: the changes so far.
      leases: the leases by ID.
      revision: the revision of the store.
    """

    items: dict[str, dict[str, Any]]
    history: tuple[dict[str, Any], ...]
    leases: dict[int, "_Lease"]
    revision: int


@dataclasses.dataclass(slots=True)
class _Lease:
    """A lease.

    Attributes:
      ttl_ms: the time to live (ms).
      expires_at: when it expires (monotonic s).
    """

    ttl_ms: int
    expires_at: float


class PlatformStoreStandin:
    """Handles the calls of the store.

    Attributes:
      restored_count: how often the store came back from a copy.
      calls: the number of calls received, by name; a long-polling watch counts
        once.
      call_times: when each call of a node was received (monotonic s), by the
        address of the node, as of `StoreFaults.only`, and the name.
      revision: the current revision of the store.
      era: the current era, stated in all answers; `None` for a store that
        states none.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        self._compacted_revision = 0
        self._leases: dict[int, _Lease] = {}
        self._next_lease = 1
        self._change_event = asyncio.Event()
        self._injector = FaultInjector()
        self._delayed_transactions: set[asyncio.Task[None]] = set()
        self.restored_count = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.call_times: dict[tuple[str, str], list[float]] = (
            collections.defaultdict(list)
        )
        # What is odd about the items that other programs wrote, by key and
        # revision.
        self._odd_items: dict[tuple[str, int], str] = {}
        self.revision = 1
        self.era: int | None = 1

    @property
    def faults(self) -> StoreFaults:
        """The faults in force."""
        return self._injector.faults

    @faults.setter
    def faults(self, faults: StoreFaults) -> None:
        self._injector.faults = faults

    @property
    def injected(self) -> Mapping[tuple[str, str], int]:
        """How often each fault took effect, by its name and the node."""
        return self._injector.injected

    def injected_count(self, fault: str) -> int:
        """Returns how often `fault` took effect at any node."""
        return sum(n for (name, _), n in self.injected.items() if name == fault)

    def make_application(self) -> web.Application:
        """Returns an aiohttp application that serves the calls."""
        app = web.Application()
        app.router.add_post(FAULTS_PATH, self._handle_faults)
        app.router.add_get(COUNTERS_PATH, self._handle_counters)
        for method, path, handler in (
            ("GET", "/-/kv-key", self._handle_key),
            ("GET", "/-/kv-range", self._handle_range),
            ("GET", "/-/kv-watch", self._handle_watch),
            ("POST", "/-/kv-txn", self._handle_transaction),
            ("POST", "/-/kv-lease", self._handle_lease_grant),
            ("POST", "/-/kv-keep/{id}", self._handle_lease_keepalive),
            ("DELETE", "/-/kv-lease-end/{id}", self._handle_lease_end),
        ):
            app.router.add_route(method, path, self._with_faults(handler))
        return app

    async def run(self) -> None:
        """Ends expired leases periodically until cancelled."""
        while True:
            now = self._clock.monotonic()
            for lease in [
                k for k, v in self._leases.items() if v.expires_at <= now
            ]:
                self.end_lease(lease)
            await asyncio.sleep(_LEASE_CHECK_INTERVAL_S)

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes an item as the operator, without a transaction's checks.

        Returns:
          The revision of the item.
        """
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), lease)
        self._notify_watches()
        return self.revision

    def put_odd(self, key: str, value: bytes, oddity: str) -> int:
        """Writes an item as another program would; its reads are counted.

        Args:
          key: the key.
          value: the value.
          oddity: what is odd about the item.

        Returns:
          The revision of the item.
        """
        revision = self.put(key, value)
        self._odd_items[key, revision] = oddity
        return revision

    def value(self, key: str) -> bytes | None:
        """Returns the value of an item; `None` if the key is absent."""
        item = self._items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def has_prefix(self, prefix: str) -> bool:
        """Returns whether there is a key that begins with `prefix`."""
        return any(key.startswith(prefix) for key in self._items)

    def remove(self, key: str) -> None:
        """Removes an item as the operator, without a transaction's checks."""
        self.revision += 1
        self._remove(key)
        self._notify_watches()

    def copy(self) -> StoreCopy:
        """Returns a copy from which the store can come back."""
        return StoreCopy(
            dict(self._items),
            tuple(self._history),
            dict(self._leases),
            self.revision,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Comes back from `copy` in a new era; what was written since is gone.

        Watches that wait are cut.
        """
        self._items, self._history = dict(copy.items), list(copy.history)
        self._leases, self.revision = dict(copy.leases), copy.revision
        if self.era is not None:
            self.era += 1
        self.restored_count += 1
        self._injector.cut_all()
        self._notify_watches()

    def compact_history(self) -> None:
        """Drops the history, so that watches must read the range again."""
        self._history.clear()
        self._compacted_revision = self.revision
        self._notify_watches()

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes the keys attached to it."""
        if self._leases.pop(lease, None) is None:
            return
        keys = [k for k, v in self._items.items() if v["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._remove(key)
        self._notify_watches()

    def _with_faults(self, handler: Any) -> Any:
        """Returns a handler that applies the faults around `handler`."""

        async def handle(request: web.Request) -> web.StreamResponse:
            name = request.path.split("/")[2]
            self.calls[name] += 1
            self.call_times[node_of(request), name].append(
                self._clock.monotonic()
            )
            self._injector.record_connection(request)
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / 1000)
            if self._injector.is_down_for(request):
                return await self._injector.refuse(request)
            era = self.era
            response: web.StreamResponse = await handler(request)
            if era != self.era:
                # The store came back from a copy meanwhile.
                return await send_fault(request, "reset")
            if era is not None and not response.prepared:
                response.headers["Store-Era"] = str(era)
            if self._injector.is_mute(request):
                return await never_respond()
            return self._injector.spoil(request, response)

        return handle

    async def _handle_faults(self, request: web.Request) -> web.Response:
        body = await request.read()
        self.faults = msgspec.json.decode(body, type=StoreFaults)
        return web.Response(status=204)

    async def _handle_counters(self, request: web.Request) -> web.Response:
        return web.json_response(
            {
                "calls": dict(self.calls),
                "injected": {
                    f"{fault} {node}": count
                    for (fault, node), count in self.injected.items()
                },
                "revision": self.revision,
            }
        )

    async def _handle_key(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({"current-rev": self.revision}, status=404)
        self._record_reads(request, [item])
        return web.json_response({**item, "current-rev": self.revision})

    async def _handle_range(self, request: web.Request) -> web.Response:
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(
            k for k in self._items if k.startswith(prefix) and k > after
        )
        page = [self._items[k] for k in keys[:MAX_PAGE_ITEMS]]
        self._record_reads(request, page)
        return web.json_response(
            {
                "items": page,
                "truncated": len(keys) > MAX_PAGE_ITEMS,
                "current-rev": self.revision,
            }
        )

    async def _handle_watch(self, request: web.Request) -> web.StreamResponse:
        prefix, after = request.query["prefix"], int(request.query["after"])
        loop = asyncio.get_running_loop()
        deadline = loop.time() + int(request.query["wait-ms"]) / 1000
        while True:
            if after < self._compacted_revision or after > self.revision:
                return web.json_response({}, status=410)
            events = [
                e
                for e in self._history
                if e["rev"] > after and e["key"].startswith(prefix)
            ]
            left_s = deadline - loop.time()
            if (events or left_s <= 0) and self._injector.is_down_for(request):
                return await self._injector.refuse(request)
            if events and self._injector.loses_watch_answer(request):
                return await never_respond()
            if events or left_s <= 0:
                self._record_reads(request, events)
                response = {"events": events, "current-rev": self.revision}
                return web.json_response(response)
            await _wait_at_most(self._change_event, left_s)

    def _record_reads(
        self, request: web.Request, items: list[dict[str, Any]]
    ) -> None:
        places = [(item["key"], item["rev"]) for item in items]
        self._injector.record_reads(
            request,
            {p[0]: self._odd_items[p] for p in places if p in self._odd_items},
        )

    async def _handle_transaction(
        self, request: web.Request
    ) -> web.StreamResponse:
        body = await request.json()
        if self._injector.loses_answer(request):
            late_s = self.faults.late_s
            task = asyncio.create_task(self._apply_later(body, late_s))
            self._delayed_transactions.add(task)
            task.add_done_callback(self._delayed_transactions.discard)
            return await send_fault(request, "reset")
        status, response = self._apply_transaction(body)
        return web.json_response(response, status=status)

    async def _apply_later(self, body: dict[str, Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._apply_transaction(body)

    def _apply_transaction(
        self, body: dict[str, Any]
    ) -> tuple[int, dict[str, Any]]:
        conditions, puts = body["expected-rev"], body["puts"]
        entries = len(conditions) + len(puts) + len(body["deletes"])
        keys = [put["key"] for put in puts] + body["deletes"]
        if entries > MAX_TRANSACTION_ENTRIES:
            return 400, {
                "error": f"expected {MAX_TRANSACTION_ENTRIES} entries at most"
            }
        if any(key.startswith(OPERATOR_PREFIX) for key in keys):
            return 403, {"error": "only the operator writes there"}
        for put in puts:
            if put.get("lease") and put["lease"] not in self._leases:
                return 404, {"error": "no such lease"}
        for condition in conditions:
            item = self._items.get(condition["key"])
            if (item["rev"] if item else 0) != condition["rev"]:
                current = [self._items.get(c["key"]) for c in conditions]
                return 412, {"items": [i for i in current if i]}
        self.revision += 1
        for put in puts:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in body["deletes"]:
            self._remove(key)
        self._notify_watches()
        return 200, {"rev": self.revision}

    async def _handle_lease_grant(self, request: web.Request) -> web.Response:
        ttl_ms = int((await request.json())["ttl-ms"])
        lease = self._next_lease
        self._next_lease += 1
        expires_at = self._clock.monotonic() + ttl_ms / 1000
        self._leases[lease] = _Lease(ttl_ms, expires_at)
        return web.json_response({"lease": lease, "ttl-ms": ttl_ms})

    async def _handle_lease_keepalive(
        self, request: web.Request
    ) -> web.Response:
        lease = self._leases.get(int(request.match_info["id"]))
        if lease is None:
            return web.json_response({}, status=404)
        lease.expires_at = self._clock.monotonic() + lease.ttl_ms / 1000
        return web.json_response({"ttl-ms": lease.ttl_ms})

    async def _handle_lease_end(self, request: web.Request) -> web.Response:
        self.end_lease(int(request.match_info["id"]))
        return web.json_response({})

    def _write(self, key: str, value: str, lease: int) -> None:
        previous = self._items.get(key)
        created_revision = (
            previous["created-rev"] if previous else self.revision
        )
        item = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "created-rev": created_revision,
            "lease": lease,
        }
        self._items[key] = item
        self._history.append(item)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            event = {"key": key, "rev": self.revision, "removed": True}
            self._history.append(event)

    def _notify_watches(self) -> None:
        self._change_event.set()
        self._change_event = asyncio.Event()


async def _wait_at_most(event: asyncio.Event, timeout_s: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), timeout_s)
    except TimeoutError:
        return
