"""A small deployment on one machine: real node processes and stand-ins.

Each instance has its own loopback IP address, so that all instances use the
same ports, as on the platform.
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

#: The `bounds` setting that every deployment of stand-ins has.
_BOUNDS = ("drain-ms=2000", "grace-s=6", "retry-slack=58")

#: Ports of an instance: of its node, its server, the store, and proxies.
_PORTS_PER_INSTANCE = 11

#: Time within which a node must become ready (s).
READY_WITHIN_S = 20.0

#: Interval between readiness checks (s).
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The configuration of an instance of the deployment.

    Attributes:
      name: the name of the instance.
      host: the IP address of the instance.
      failure_domain: the failure domain of the instance.
      service: the service that its backend server provides.
    """

    name: str
    host: str
    failure_domain: str
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class CallerResponse:
    """The response that a caller received.

    Attributes:
      status: the HTTP status; 0 for no response.
      headers: the header fields.
      body: the complete body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Instance:
    """One instance: a node process and a stand-in for its backend server.

    Attributes:
      place: the configuration of the instance.
      caller_address: the listener for callers on the node.
      control_address: the control listener of the node, which receives the
        heartbeats of the server.
      ready_address: the readiness listener of the node.
      peer_address: the listener for peers on the node.
      server_address: the address of the backend server.
      metrics_address: the metrics listener of the node.
      store_address: the address at which the store serves this node only.
      configured_store_address: the address of the store that the node is
        configured with, such as that of a proxy; `None` for the real one.
      configured_server_address: the address of the backend server that the
        node is configured with.
      configured_peer_address: the peer address that the node advertises;
        `None` for the real one.
      python: the Python command that runs the node.
      log_path: the log file of the node.
      settings_path: the settings file of the node.
      server: the current incarnation of the backend server; `None` before
        the first start.
    """

    def __init__(self, place: Place, port: int, folder: pathlib.Path) -> None:
        self.place = place
        self.caller_address = Address(place.host, port)
        self.control_address = Address(place.host, port + 1)
        self.ready_address = Address(place.host, port + 2)
        self.peer_address = Address(place.host, port + 3)
        self.server_address = Address(place.host, port + 4)
        self.metrics_address = Address(place.host, port + 6)
        self.store_address = Address(place.host, port + 10)
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
        self, domains: list[str], bounds: tuple[str, ...], memory_mb: int
    ) -> None:
        """Writes the settings file in the format of the platform."""
        place = self.place
        store = self.configured_store_address or self.store_address
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
            f'address = "{store}"',
            "[limits]",
            f"memory-mb = {memory_mb}",
        ]
        self.settings_path.write_text("\n".join(lines) + "\n")

    async def start_node(self) -> None:
        """Starts the node process."""
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
        self._runner = await _start_application(
            self.server.make_application(), self.server_address
        )
        self._heartbeat_task = asyncio.create_task(
            self.server.send_heartbeats()
        )

    async def restart_server(self) -> None:
        """Crashes the server and restarts it with the same incarnation ID."""
        previous = self.server
        assert previous is not None, "no server was started"
        await self.crash_server()
        options = dataclasses.replace(
            previous.options, incarnation=previous.incarnation
        )
        await self.start_server(options, seed=1)

    def stop_heartbeats(self) -> None:
        """Stops the heartbeats of the server, which goes on serving."""
        if self._heartbeat_task is not None:
            self._heartbeat_task.cancel()

    async def crash_server(self) -> None:
        """Stops the server without a draining heartbeat or deregistration."""
        self.stop_heartbeats()
        if self._runner is not None:
            await self._runner.cleanup()
        self._runner = None

    def signal_node(self, number: signal.Signals) -> None:
        """Sends a signal to the node process started here, if it still runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    @property
    def has_logged_since_start(self) -> bool:
        """Whether the node has logged anything since its last start."""
        return self.log_path.stat().st_size > self._log_size_at_start

    @property
    def exit_status(self) -> int | None:
        """The exit status of the node; `None` while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def node_pid(self) -> int:
        """The process ID of the node."""
        assert self._process is not None, "no node was started"
        return self._process.pid

    async def node_ended(self) -> int:
        """Waits until the node exits; returns its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def close(self) -> None:
        """Stops the server and kills the node."""
        await self.crash_server()
        self.signal_node(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()


class Fleet:
    """A deployment: instances, the store, and the operator's writes to it.

    Attributes:
      instances: the instances, by name.
      store: the stand-in for the store.
      accounts: the client accounts that `configure` writes, in the format of
        the operator.
      rewrite_config: changes each configuration before it is written.
    """

    def __init__(
        self,
        places: list[Place],
        folder: pathlib.Path,
        prepare: Callable[[Instance], Awaitable[None]] | None = None,
        bounds: tuple[str, ...] = (),
        memory_mb: int = 300,
    ) -> None:
        """Initializes a deployment without starting it.

        Args:
          places: the configurations of the instances.
          folder: the directory for settings and log files.
          prepare: called with each instance before its settings are written.
          bounds: further entries of the `bounds` setting, as NAME=VALUE.
          memory_mb: memory of the machine of each node, as configured (MiB).
        """
        self._bounds = bounds
        self._memory_mb = memory_mb
        self.accounts: list[dict[str, Any]] = []
        self.rewrite_config: Callable[[bytes], bytes] = bytes
        self._prepare_instance = prepare
        port = find_free_port_range(
            [p.host for p in places], _PORTS_PER_INSTANCE
        )
        self.instances = {p.name: Instance(p, port, folder) for p in places}
        self.store = PlatformStoreStandin(SystemClock())
        self._stack = contextlib.AsyncExitStack()
        self._config_version = 0
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> "Fleet":
        runner = await _start_application(
            self.store.make_application(),
            *(i.store_address for i in self.instances.values()),
        )
        self._stack.push_async_callback(runner.cleanup)
        store_task = asyncio.create_task(self.store.run())
        self._stack.callback(store_task.cancel)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        self._session = aiohttp.ClientSession(connector=connector)
        self._stack.push_async_callback(self._session.close)
        domains = sorted(
            {i.place.failure_domain for i in self.instances.values()}
        )
        for instance in self.instances.values():
            if self._prepare_instance is not None:
                await self._prepare_instance(instance)
            instance.write_settings(domains, self._bounds, self._memory_mb)
            self._stack.push_async_callback(instance.close)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def start(self, seed: int, **options: Any) -> None:
        """Starts every server and node, and waits until all nodes are ready.

        Args:
          seed: seeds the servers.
          **options: further fields of `ServerOptions`.

        Raises:
          TimeoutError: a node is not ready within `READY_WITHIN_S`.
        """
        for number, instance in enumerate(self.instances.values()):
            place = instance.place
            server_options = ServerOptions(
                place.service,
                place.failure_domain,
                instance.server_address,
                instance.control_address,
                **options,
            )
            await instance.start_server(server_options, seed + number)
            await instance.start_node()
        for instance in self.instances.values():
            await self.until_ready(instance)

    def configure(self, routes: list[dict[str, Any]], **more: Any) -> int:
        """Writes a configuration to the store in the operator's format.

        Args:
          routes: the routes, as returned by `route`.
          **more: further fields of the configuration.

        Returns:
          The version of the configuration.
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
        content = self.rewrite_config(json.dumps(cfg).encode())
        self.store.put("op/config", content)
        return self._config_version

    async def until_ready(self, instance: Instance) -> None:
        """Waits until the node reports that it is ready.

        Raises:
          TimeoutError: the node is not ready within `READY_WITHIN_S`.
        """
        url = f"http://{instance.ready_address}/-/ready"
        async with asyncio.timeout(READY_WITHIN_S):
            while not await self._is_ok(url):  # noqa: ASYNC110
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def ask(
        self,
        instance: Instance,
        path: str,
        method: str = "GET",
        timeout_ms: int = 2000,
        request_id: str = "",
        headers: Mapping[str, str] | None = None,
    ) -> CallerResponse:
        """Sends a request to the caller listener of `instance`."""
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
            ) as response:
                body = await response.read()
                return CallerResponse(
                    response.status, dict(response.headers), body
                )
        except (aiohttp.ClientError, TimeoutError):
            return CallerResponse(0, {}, b"")

    async def _is_ok(self, url: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False


def route(service: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns a route for `/SERVICE/` in the operator's format."""
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


async def _start_application(
    app: web.Application, *addresses: Address
) -> web.AppRunner:
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    for address in addresses:
        site = web.TCPSite(
            runner, address.host, address.port, reuse_address=True
        )
        await site.start()
    return runner
