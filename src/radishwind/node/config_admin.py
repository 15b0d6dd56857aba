"""Reports a node's configuration to operators, on the admin listener."""

import collections
from typing import Any

import anyio

from radishwind.config.reports import CONFIG_PATH
from radishwind.config.reports import ConfigInForce
from radishwind.config.reports import FLEET_PATH
from radishwind.config.reports import FleetReport
from radishwind.http import Request
from radishwind.http import Response
from radishwind.membership.directory import Member
from radishwind.node.admin import AdminListener
from radishwind.node.admin import json_response
from radishwind.node.config_tasks import ConfigTasks
from radishwind.node.node_telemetry import NodeTelemetry
from radishwind.store import BudgetedStore
from radishwind.supervision import run_contained

#: Members pulled from for one report. Of any others, the report has the
#: revision that they last advertised.
_MAX_PULLS = 256
_MAX_CONCURRENT_PULLS = 16
_MAX_NAMES = 100


class ConfigAdmin:
    """Registers the paths, status fields and metrics of configuration."""

    def __init__(self, tasks: ConfigTasks, *stores: BudgetedStore) -> None:
        self._tasks = tasks
        self._stores = stores

    def add_to(self, admin: AdminListener) -> None:
        """Registers the paths and status fields with the admin listener."""
        admin.add("GET", CONFIG_PATH, self._handle_config)
        admin.add("GET", FLEET_PATH, self._handle_fleet)
        admin.add_status(self._status)

    def add_metrics(self, telemetry: NodeTelemetry) -> None:
        """Registers the metrics of configuration and of the store."""
        adopter = self._tasks.adopter
        telemetry.gauge(
            "config.revision",
            "1",
            "Configuration revision in force.",
            lambda: {"": adopter.snapshot.revision},
        )
        telemetry.counter(
            "config.refusals",
            "1",
            "Configurations refused.",
            lambda: {"": adopter.refusals},
        )
        telemetry.counter(
            "store.calls", "1", "Calls of the store sent.", self._store_calls
        )
        telemetry.counter(
            "store.failures",
            "1",
            "Calls of the store that failed, and calls not sent.",
            self._store_failures,
        )

    def _status(self) -> dict[str, Any]:
        snapshot = self._tasks.adopter.snapshot
        exchange = self._tasks.exchange
        return {
            "config_revision": snapshot.revision,
            "config_change_id": snapshot.change_id,
            "config_refusals": self._tasks.adopter.refusals,
            "config_last_refusal": self._tasks.adopter.last_refusal,
            "config_watching": self._tasks.is_watching,
            "config_pulls_answered": exchange.pulls_answered,
            "config_pulls_sent": exchange.pulls_sent,
            "config_bytes_received": exchange.bytes_received,
            "store_calls": self._store_calls(),
            "store_refused": sum(s.refused_count for s in self._stores),
            "store_failed": sum(s.failed_count for s in self._stores),
        }

    def _store_calls(self) -> dict[str, float]:
        counts: collections.Counter[str] = collections.Counter()
        for store in self._stores:
            counts.update(store.call_counts)
        return dict(counts)

    def _store_failures(self) -> dict[str, float]:
        return {
            "failed": sum(s.failed_count for s in self._stores),
            "refused": sum(s.refused_count for s in self._stores),
        }

    async def _handle_config(self, request: Request) -> Response:
        cfg = self._tasks.adopter.snapshot.cfg
        return json_response(
            ConfigInForce(cfg.revision, cfg.change_id, cfg.inventory, cfg.rules)
        )

    async def _handle_fleet(self, request: Request) -> Response:
        return json_response(await self._build_report())

    async def _build_report(self) -> FleetReport:
        snapshot = self._tasks.adopter.snapshot
        members = self._tasks.other_members()
        revisions = await self._collect_revisions(members, snapshot.revision)
        lagging = [
            name
            for name, revision in revisions.items()
            if revision is not None and revision < snapshot.revision
        ]
        silent = [name for name, rev in revisions.items() if rev is None]
        listed = self._tasks.index.targets
        unlisted = [m.name for m in members if m.name not in listed]
        return FleetReport(
            snapshot.revision,
            snapshot.change_id,
            len(members) + 1,
            len(members) + 1 - len(lagging) - len(silent),
            tuple(sorted(lagging)[:_MAX_NAMES]),
            tuple(sorted(silent)[:_MAX_NAMES]),
            tuple(sorted(unlisted)[:_MAX_NAMES]),
        )

    async def _collect_revisions(
        self, members: list[Member], revision: int
    ) -> dict[str, int | None]:
        """Returns the revision in force at each member, by name.

        Members that already advertised `revision` or a newer one are not
        called. The revision of a member that does not respond is `None`.
        """
        advertised = {m.name: m.config_revision for m in members}
        revisions: dict[str, int | None] = dict(advertised)
        behind = [m for m in members if advertised[m.name] < revision]
        limiter = anyio.CapacityLimiter(_MAX_CONCURRENT_PULLS)

        async def pull(member: Member) -> None:
            async with limiter:
                revisions[member.name] = await self._tasks.pull(member.address)

        async with anyio.create_task_group() as tasks:
            for member in behind[:_MAX_PULLS]:
                tasks.start_soon(run_contained, "config.pulls", pull, member)
        return revisions
