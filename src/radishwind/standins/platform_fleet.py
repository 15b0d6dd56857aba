"""A small deployment on one machine: nodes as processes, the rest stood in.

Each instance has an address of its own in the loopback range, so that all use
the same ports as on the platform.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import sys
from typing import Any
import uuid

import aiohttp
from aiohttp import web

from radishwind.core.clock import SystemClock
from radishwind.http.types import Address
from radishwind.standins.platform_server import HEALTH_PATH
from radishwind.standins.platform_server import PlatformServerStandin
from radishwind.standins.platform_server import ServerOptions
from radishwind.standins.platform_store import PlatformStoreStandin
from radishwind.standins.ports import find_free_port_range

HOST = "calm.example"
STORE_HOST = "127.0.9.1"

#: What holds in every deployment of stand-ins.
_BOUNDS = ("drain-ms=2000", "grace-s=6", "retry-slack=58")

#: How long a node may take to be ready (s).
READY_WITHIN_S = 20.0

_LOOK_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An instance of the deployment.

    Attributes:
      name: of the instance.
      host: its IP address.
      failure_domain: where it stands.
      service: of the server beside.
    """

    name: str
    host: str
    failure_domain: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResponse:
    """What a caller got.

    Attributes:
      status: the HTTP status; 0 for no answer.
      headers: the fields.
      body: the body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Instance:
    """One instance: its node as a process, its server stood in.

    Attributes:
      python: the command that runs a module; of its node.
    """

    def __init__(self, place: Place, port: int, folder: pathlib.Path) -> None:
        self.place = place
        self.caller_address = Address(place.host, port)
        self.control_address = Address(place.host, port + 1)
        self.ready_address = Address(place.host, port + 2)
        self.peer_address = Address(place.host, port + 3)
        self.server_address = Address(place.host, port + 4)
        self.metrics_address = Address(place.host, port + 6)
        # What its node is told of the store, its server and itself; others
        # than the real addresses where something stands in between.
        self.configured_store_address: Address | None = None
        self.configured_server_address = self.server_address
        self.configured_peer_address: Address | None = None
        self.python: tuple[str, ...] = (sys.executable,)
        self.log_path = folder / f"{place.name}.log"
        self.settings_path = folder / f"{place.name}.toml"
        self._process: asyncio.subprocess.Process | None = None
        self._log_size_at_start = 0
        self._runner: web.AppRunner | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self.server: PlatformServerStandin | None = None

    def write_settings(
        self, store: Address, domains: list[str], bounds: tuple[str, ...]
    ) -> None:
        """Writes the settings file as the platform does."""
        place = self.place
        lines = [
            f'node = "{place.name}"',
            f'ip = "{place.host}"',
            f'zone = "{place.failure_domain}"',
            f'service = "{place.service}"',
            f'app-addr = "{self.configured_server_address}"',
            f"port-range = [{self.peer_address.port}, "
            f"{self.peer_address.port}]",
            "heartbeat-ms = 500",
            f"bounds = {json.dumps([*_BOUNDS, *bounds])}",
            "[zones]",
            *(f'{domain} = "here"' for domain in domains),
            "[listen]",
            f'outbound = "{self.caller_address}"',
            f'inbound = "{place.host}:{self.caller_address.port + 5}"',
            f'ready = "{self.ready_address}"',
            f'control = "{self.control_address}"',
            "[provider]",
            f'address = "{self.configured_store_address or store}"',
        ]
        self.settings_path.write_text("\n".join(lines) + "\n")

    async def start_node(self) -> None:
        """Starts the node as a process."""
        if self.log_path.exists():
            self._log_size_at_start = self.log_path.stat().st_size
        environ = {
            **os.environ,
            "RADISHWIND_BOOT": str(self.settings_path),
            "RADISHWIND_METRICS_PORT": str(self.metrics_address.port),
        }
        if self.configured_peer_address is not None:
            environ["RADISHWIND_PEER_ADDRESS"] = str(
                self.configured_peer_address
            )
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *self.python,
                "-m",
                "radishwind.sidecar",
                env=environ,
                stdout=log,
                stderr=log,
            )

    async def start_server(self, options: ServerOptions, seed: int) -> None:
        """Starts a new incarnation of the server."""
        self.server = PlatformServerStandin(
            options, random.Random(seed), SystemClock()
        )
        self._runner = await _serve(
            self.server.make_application(), self.server_address
        )
        self._heartbeat_task = asyncio.create_task(
            self.server.send_heartbeats()
        )

    async def restart_server(self) -> None:
        """Ends the server and starts another life under the same name."""
        before = self.server
        assert before is not None, "no server was started"
        await self.crash_server()
        options = dataclasses.replace(
            before.options, incarnation=before.incarnation
        )
        await self.start_server(options, seed=1)

    def stop_heartbeats(self) -> None:
        """Lets the server say nothing any more."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    async def crash_server(self) -> None:
        """Ends the server without a word."""
        self.stop_heartbeats()
        if self._runner is not None:
            await self._runner.cleanup()
        self._runner = None

    def signal_node(self, number: signal.Signals) -> None:
        """Sends a signal to the node, to the process started here only."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def has_logged_since_start(self) -> bool:
        """Whether the node wrote any line since its last start."""
        return self.log_path.stat().st_size > self._log_size_at_start

    @property
    def node_pid(self) -> int:
        """The process of the node."""
        assert self._process is not None, "no node was started"
        return self._process.pid

    async def node_ended(self) -> int:
        """Returns the exit code of the node once it ended."""
        assert self._process is not None
        return await self._process.wait()

    async def close(self) -> None:
        """Ends the node and the server."""
        await self.crash_server()
        self.signal_node(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Fleet:
    """The deployment: instances, the store, and the operator.

    Attributes:
      instances: by name.
      store: the store stood in.
      accounts: the client accounts of the next configurations, as the
        operator writes them.
    """

    def __init__(
        self,
        places: list[Place],
        folder: pathlib.Path,
        prepare: Callable[[Instance], Awaitable[None]] | None = None,
        bounds: tuple[str, ...] = (),
    ) -> None:
        """Makes a deployment that is not started yet.

        Args:
          places: the instances.
          folder: where settings and logs go.
          prepare: called with each instance before its settings are written.
          bounds: further ones of the settings, as NAME=VALUE.
        """
        self._bounds = bounds
        self.accounts: list[dict[str, Any]] = []
        self._prepare = prepare
        port = find_free_port_range([p.host for p in places] + [STORE_HOST], 10)
        self.instances = {p.name: Instance(p, port, folder) for p in places}
        self.store = PlatformStoreStandin(SystemClock())
        self.store_address = Address(STORE_HOST, port)
        self._stack = contextlib.AsyncExitStack()
        self._config_version = 0
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> "Fleet":
        runner = await _serve(self.store.make_application(), self.store_address)
        self._stack.push_async_callback(runner.cleanup)
        lapse = asyncio.create_task(self.store.run())
        self._stack.callback(lapse.cancel)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(connector=connector)
        self._stack.push_async_callback(self._session.close)
        domains = sorted(
            {i.place.failure_domain for i in self.instances.values()}
        )
        for instance in self.instances.values():
            if self._prepare is not None:
                await self._prepare(instance)
            instance.write_settings(self.store_address, domains, self._bounds)
            self._stack.push_async_callback(instance.close)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def start(self, seed: int, **options: Any) -> None:
        """Starts every server and node, and waits until all are ready."""
        for number, instance in enumerate(self.instances.values()):
            place = instance.place
            told = ServerOptions(
                place.service,
                place.failure_domain,
                instance.server_address,
                instance.control_address,
                **options,
            )
            await instance.start_server(told, seed + number)
            await instance.start_node()
        for instance in self.instances.values():
            await self.until_ready(instance)

    def configure(self, routes: list[dict[str, Any]], **more: Any) -> int:
        """Writes a configuration as the operator does; returns its version.

        Args:
          routes: as `route` returns them.
          **more: further fields of the configuration.
        """
        self._config_version += 2
        names = {i.place.service for i in self.instances.values()}
        cfg = {
            "version": self._config_version,
            "routes": routes,
            "services": [
                {"name": name, "health-path": HEALTH_PATH, "max-conns": 64}
                for name in sorted(names)
            ],
            "limits": {"idle-timeout-ms": 15000},
            **more,
        }
        if self.accounts:
            cfg["tenants"] = self.accounts
        self.store.put("op/config", json.dumps(cfg).encode())
        return self._config_version

    async def until_ready(self, instance: Instance) -> None:
        """Returns once the node says that it takes callers.

        Raises:
          TimeoutError: it does not within `READY_WITHIN_S`.
        """
        url = f"http://{instance.ready_address}/-/ready"
        async with asyncio.timeout(READY_WITHIN_S):
            while not await self._answers(url):  # noqa: ASYNC110
                await asyncio.sleep(_LOOK_S)

    async def ask(
        self,
        instance: Instance,
        path: str,
        method: str = "GET",
        timeout_ms: int = 2000,
        request_id: str = "",
        headers: Mapping[str, str] | None = None,
    ) -> CallerResponse:
        """Sends a request as a caller on `instance` does."""
        fields = {
            "Host": HOST,
            "Attempt-Id": request_id or uuid.uuid4().hex[:16],
            "Timeout-Ms": str(timeout_ms),
            **(headers or {}),
        }
        url = f"http://{instance.caller_address}{path}"
        timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
        try:
            async with self._session.request(
                method, url, headers=fields, timeout=timeout
            ) as answer:
                body = await answer.read()
                return CallerResponse(answer.status, dict(answer.headers), body)
        except (aiohttp.ClientError, TimeoutError):
            return CallerResponse(0, {}, b"")

    async def _answers(self, url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def route(service: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns a route below `/SERVICE/` as the operator writes it."""
    return {
        "name": f"r-{service}",
        "host": HOST,
        "prefix": f"/{service}/",
        "kind": kind,
        "timeout-ms": 1500,
        "aim-ms": 300,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **more,
    }


async def _serve(app: web.Application, address: Address) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, address.host, address.port, reuse_address=True)
    await site.start()
    return runner
