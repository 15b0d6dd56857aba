"""Stand-ins of the platform for the review; standard library only.

A `Lab` starts nodes as separate processes with the command of the deploy file,
each on its own loopback address, and serves the platform's store to them. Its
targets and clients speak the published protocol.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from typing import Any
import urllib.parse

REPO = pathlib.Path(__file__).resolve().parents[2]

#: The command of the deploy file.
COMMAND = tomllib.loads((REPO / "deploy/system.toml").read_text())["roles"][
    "node"
]["run"].split(" ")

#: Bounds of a small deployment, as in its settings file.
BOUNDS = {
    "seed-lag-s": "3",
    "reuse-after-s": "2",
    "stable-ms": "3000",
    "ack-ms": "4000",
    "catch-up-s": "4",
    "drain-ms": "2000",
    "grace-s": "6",
    "loss-slack-ms": "200",
    "config-ms": "2000",
    "rollback-slack-ms": "250",
    "max-skew-ms": "5000",
    "retry-ratio": "0.2",
    "retry-window-s": "10",
    "retry-slack": "58",
    "recovery-s": "15",
    "probes-per-s": "60",
}

#: Contracts of a small deployment.
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "health",
    "platform",
]

_READY_WITHIN_S = 20.0


class Record:
    """The record of a script: what was sent, answered and run, with times."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Time since the start of the record (s)."""
        return time.monotonic() - self._began

    def note(self, text: str, *, show: bool = False) -> None:
        """Writes a line; also prints it if `show`."""
        line = f"{self.now:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if show:
            print(line, flush=True)


@dataclasses.dataclass
class Message:
    """A request or a response.

    Attributes:
      start: the words of the first line.
      headers: the header fields, names in lower case.
      body: the body.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads the head of a message; `None` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(" ", 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    """Reads the body that the head of `message` announces."""
    if "chunked" in message.headers.get("transfer-encoding", ""):
        pieces = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            pieces.append((await reader.readexactly(size + 2))[:-2])
            if not size:
                return b"".join(pieces)
    length = int(message.headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def response_bytes(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns an encoded response."""
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Other'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Message | None:
    """Sends one request on a new connection; `None` without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            head = f"{method} {path} HTTP/1.1\r\n"
            head += "".join(f"{k}: {v}\r\n" for k, v in headers.items())
            head += f"Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            message = await read_head(reader)
            if message is not None:
                message.body = await read_body(reader, message)
            return message
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Server:
    """A minimal HTTP/1.1 server of keep-alive connections."""

    def __init__(
        self, handle: Callable[[Message], Awaitable[bytes | None]]
    ) -> None:
        """Creates a server.

        Args:
          handle: returns the encoded response; `None` resets the connection.
        """
        self._handle = handle
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, *addresses: tuple[str, int]) -> None:
        """Listens on the addresses."""
        self._servers = [
            await asyncio.start_server(
                self._serve, host, port, reuse_address=True, limit=1 << 22
            )
            for host, port in addresses
        ]

    def stop_listening(self) -> None:
        """Accepts no more connections; open ones stay as they are."""
        for server in self._servers:
            server.close()

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        self.stop_listening()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        while (message := await read_head(reader)) is not None:
            message.body = await read_body(reader, message)
            answer = await self._handle(message)
            if answer is None:
                writer.transport.abort()
                return
            writer.write(answer)
            await writer.drain()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Store:
    """The platform's store: items, watches, transactions and leases."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.items: dict[str, dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.revision = 1
        self.era = 1
        self.is_down = False
        self._next_lease = 1
        self._changed = asyncio.Event()
        self.server = Server(self._handle)
        self.calls: list[tuple[float, str]] = []

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes as the operator; returns the revision, which is the ack."""
        self.revision += 1
        self._write(key, base64.b64encode(value).decode(), lease)
        self.notify()
        return self.revision

    def remove(self, key: str) -> int:
        """Removes a key as the operator; returns the revision."""
        self.revision += 1
        self._remove(key)
        self.notify()
        return self.revision

    def notify(self) -> None:
        """Wakes the waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    def copy(self) -> tuple[Any, ...]:
        """Returns a copy of all that the store holds."""
        return (
            dict(self.items),
            list(self.history),
            dict(self.leases),
            self.revision,
        )

    def restore(self, copy: tuple[Any, ...]) -> None:
        """Comes back from a copy; the era rises."""
        items, history, leases, revision = copy
        self.items, self.history = dict(items), list(history)
        self.leases, self.revision = dict(leases), revision
        self.era += 1
        self.notify()

    async def run(self) -> None:
        """Ends leases that have expired."""
        while True:
            now = time.monotonic()
            for lease, (_, until) in list(self.leases.items()):
                if until <= now and not self.is_down:
                    self._end_lease(lease)
            await asyncio.sleep(0.1)

    async def _handle(self, message: Message) -> bytes | None:
        if self.is_down:
            return None
        path, _, query = message.start[1].partition("?")
        args = dict(urllib.parse.parse_qsl(query))
        self.calls.append((self._record.now, f"{message.start[0]} {path}"))
        era = self.era
        status, body = await self._call(path, args, message)
        if self.is_down or (era != self.era and status == 200):
            return None
        headers = {
            "Content-Type": "application/json",
            "Store-Era": str(self.era),
        }
        return response_bytes(status, headers, json.dumps(body).encode())

    async def _call(
        self, path: str, args: dict[str, str], message: Message
    ) -> tuple[int, Any]:
        await asyncio.sleep(0.004)
        if path == "/-/kv-key":
            item = self.items.get(args["key"])
            current = {"current-rev": self.revision}
            return (404, current) if item is None else (200, item | current)
        if path == "/-/kv-range":
            return 200, self._range(args)
        if path == "/-/kv-watch":
            return await self._watch(args)
        if path == "/-/kv-txn":
            return self._transact(json.loads(message.body))
        if path == "/-/kv-lease":
            ttl_s = json.loads(message.body)["ttl-ms"] / 1000
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"lease": lease, "ttl-ms": int(ttl_s * 1000)}
        lease = int(path.rpartition("/")[2])
        if path.startswith("/-/kv-keep/"):
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][0]
            self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl-ms": int(ttl_s * 1000)}
        self._end_lease(lease)
        return 200, {}

    def _range(self, args: dict[str, str]) -> dict[str, Any]:
        prefix, after = args["prefix"], args.get("after", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        return {
            "items": [self.items[k] for k in keys[:500]],
            "truncated": len(keys) > 500,
            "current-rev": self.revision,
        }

    async def _watch(self, args: dict[str, str]) -> tuple[int, Any]:
        prefix, after = args["prefix"], int(args["after"])
        until = time.monotonic() + int(args["wait-ms"]) / 1000
        while True:
            if after > self.revision:
                # A revision that this store does not have.
                return 410, {}
            events = [
                e
                for e in self.history
                if e["rev"] > after and e["key"].startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if events or left_s <= 0 or self.is_down:
                return 200, {"events": events, "current-rev": self.revision}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        keys = [p["key"] for p in body["puts"]] + body["deletes"]
        if any(k.startswith(("op/", "servers/")) for k in keys):
            return 403, {}
        for put in body["puts"]:
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for row in body["expected-rev"]:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                current = [
                    self.items[r["key"]]
                    for r in body["expected-rev"]
                    if r["key"] in self.items
                ]
                return 412, {"items": current}
        self.revision += 1
        for put in body["puts"]:
            self._write(put["key"], put["value"], put.get("lease", 0))
        for key in body["deletes"]:
            self._remove(key)
        self.notify()
        return 200, {"rev": self.revision}

    def _write(self, key: str, value: str, lease: int) -> None:
        old = self.items.get(key)
        item = {
            "key": key,
            "value": value,
            "rev": self.revision,
            "created-rev": old["created-rev"] if old else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.history.append(
                {"key": key, "rev": self.revision, "removed": True}
            )

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, v in self.items.items() if v["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self._remove(key)
            self.notify()


class Node:
    """One machine: its addresses, and the process of its node."""

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        service: str,
        port: int,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.host = host
        self.zone = zone
        self.service = service
        self.outbound = port
        self.control = port + 1
        self.ready = port + 2
        self.inbound = port + 3
        self.app_port = port + 4
        self.store_port = port + 5
        self.metrics = port + 6
        self.peer = port + 7
        self.path = folder / f"{name}.toml"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    def write_settings(
        self, zones: list[str], bounds: dict[str, str], *, bootstrap: bool
    ) -> None:
        """Writes the settings file as the platform does."""
        pairs = json.dumps([f"{k}={v}" for k, v in bounds.items()])
        contracts = json.dumps(CONTRACTS)
        lines = [
            f'node = "{self.name}"',
            'role = "node"',
            'machine-class = "sidecar"',
            'serves = ["sidecar"]',
            f'ip = "{self.host}"',
            f'zone = "{self.zone}"',
            'region = "here"',
            f"port-range = [{self.peer}, {self.peer + 3}]",
            "seeds = []",
            f"bootstrap = {str(bootstrap).lower()}",
            "loss-counts = false",
            'discovery = "static"',
            'entry = "static"',
            "heartbeat-ms = 1500",
            f"contracts = {contracts}",
            f"bounds = {pairs}",
            f'app-addr = "{self.host}:{self.app_port}"',
            f'service = "{self.service}"',
            "[zones]",
            *(f'{zone} = "here"' for zone in zones),
            "[listen]",
            f'inbound = "{self.host}:{self.inbound}"',
            f'outbound = "{self.host}:{self.outbound}"',
            f'ready = "{self.host}:{self.ready}"',
            f'control = "{self.host}:{self.control}"',
            "[limits]",
            "cpu-share = 0.86",
            "cores = 1",
            "memory-mb = 300",
            "max-fds = 4100",
            "link-mbps = 1000.0",
            "disk-mb = 0",
            "[fault-tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[provider]",
            f'address = "{self.host}:{self.store_port}"',
            'form = "kv"',
            "writes-per-s = 400",
            "reads-per-s = 2000",
            "history-s = 20",
            "value-bytes = 1048576",
            "ttl-min-ms = 1000",
        ]
        self.path.write_text("\n".join(lines) + "\n")

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        environ = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPO / "target/deps"),
            "RADISHWIND_BOOT": str(self.path),
            "RADISHWIND_METRICS_PORT": str(self.metrics),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *COMMAND, cwd=REPO, env=environ, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def until_ready(self) -> None:
        """Waits until the node says that it is ready."""
        async with asyncio.timeout(_READY_WITHIN_S):
            while True:
                answer = await call(
                    self.host, self.ready, "GET", "/-/ready", {"Host": "ready"}
                )
                if answer is not None and answer.start[1] == "200":
                    return
                await asyncio.sleep(0.05)


class Target:
    """A target of a service, as the pages describe it.

    Attributes:
      runs: (time, attempt id, path) of each request that it began to run.
      instance: its id.
    """

    def __init__(
        self,
        lab: "Lab",
        node: Node,
        service: str,
        instance: str,
        *,
        slots: int = 9,
        queue: int = 24,
        work_s: float = 0.05,
    ) -> None:
        self.lab = lab
        self.node = node
        self.service = service
        self.instance = instance
        self.slots = slots
        self.queue = queue
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs: list[tuple[float, str, str]] = []
        self.running = 0
        self.waiting = 0
        self._slots = asyncio.Semaphore(slots)
        self.server = Server(self.handle)
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens at the address of the machine, and sends heartbeats."""
        await self.server.start((self.node.host, self.node.app_port))
        self.start_beats()

    def start_beats(self) -> None:
        """Begins to send heartbeats."""
        self._beats = asyncio.create_task(self._send_beats())
        self.lab.tasks.append(self._beats)

    async def stop(self) -> None:
        """Ends at once, without a word."""
        self.stop_beats()
        await self.server.stop()

    def stop_beats(self) -> None:
        """Stops the heartbeats."""
        if self._beats is not None:
            self._beats.cancel()

    async def beat(self) -> bool:
        """Sends one heartbeat; returns whether it was acknowledged."""
        return await self.send_beat(self.next_beat())

    def next_beat(self) -> dict[str, Any]:
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.node.host}:{self.node.app_port}",
            "zone": self.node.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }

    async def send_beat(self, body: dict[str, Any]) -> bool:
        """Delivers a heartbeat; returns whether it was acknowledged."""
        return await self._tell("Heartbeat", body)

    async def deregister(self) -> bool:
        """Deregisters; returns whether that was acknowledged."""
        return await self._tell("Deregister", {"born": self.born})

    async def _tell(self, name: str, body: dict[str, Any]) -> bool:
        answer = await call(
            self.node.host,
            self.node.control,
            "POST",
            f"/-/Instances.{name}/{self.instance}",
            {"Host": "control", "Content-Type": "application/json"},
            json.dumps(body).encode(),
            timeout_s=1.0,
        )
        return answer is not None and answer.start[1].startswith("2")

    async def _send_beats(self) -> None:
        while True:
            acknowledged = await self.beat()
            await asyncio.sleep(1.5 if acknowledged else 0.3)

    def load(self) -> dict[str, str]:
        """Returns the header field that tells its load."""
        return {
            "Server-Load": f"{self.running},{self.waiting},{self.slots},100"
        }

    def refuse(self, status: int = 503) -> bytes:
        """Returns an answer that says that the request was not run."""
        return response_bytes(status, {"Not-Executed": "1", **self.load()})

    async def handle(self, message: Message) -> bytes | None:
        """Handles a request."""
        path = message.start[1]
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            return response_bytes(
                status, {"Instance-Id": self.instance, **self.load()}
            )
        expected = message.headers.get("expect-instance", self.instance)
        if expected != self.instance:
            return response_bytes(421, {"Instance-Id": self.instance})
        if self.waiting >= self.queue:
            return self.refuse()
        attempt = message.headers.get("attempt-id", "")
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self.run(attempt, path, message)
        finally:
            self.running -= 1
            self._slots.release()

    async def run(
        self, attempt: str, path: str, message: Message
    ) -> bytes | None:
        """Runs a request."""
        self.runs.append((self.lab.record.now, attempt, path))
        self.lab.record.note(
            f"ran {attempt} {message.start[0]} {path} at {self.instance} of "
            f"{self.service} on {self.node.name}"
        )
        await asyncio.sleep(self.work_s)
        return response_bytes(
            200,
            {
                "Attempt-Id": attempt,
                "Response-Signature": f"{self.instance}.{attempt}",
                **self.load(),
            },
            f"done {attempt} by {self.service}".encode(),
        )


class Lab:
    """A small deployment on loopback addresses."""

    def __init__(self, record: Record, subnet: int) -> None:
        """Creates an empty deployment.

        Args:
          record: the record of the script.
          subnet: third number of the loopback addresses of the machines.
        """
        self.record = record
        self.store = Store(record)
        self.nodes: dict[str, Node] = {}
        self.tasks: list[asyncio.Task[Any]] = []
        self.bounds = dict(BOUNDS)
        self._subnet = subnet
        self._folder = pathlib.Path(tempfile.mkdtemp())
        self._port = _free_port(subnet)
        self._version = 0

    def add(self, name: str, zone: str, service: str) -> Node:
        """Adds a machine."""
        host = f"127.0.{self._subnet}.{len(self.nodes) + 11}"
        node = Node(name, host, zone, service, self._port, self._folder)
        self.nodes[name] = node
        return node

    async def start_store(self) -> None:
        """Serves the store to all machines, and writes the settings files."""
        await self.store.server.start(
            *((n.host, n.store_port) for n in self.nodes.values())
        )
        self.tasks.append(asyncio.create_task(self.store.run()))
        zones = sorted({n.zone for n in self.nodes.values()})
        for node in self.nodes.values():
            node.write_settings(zones, self.bounds, bootstrap=True)

    def restart_settings(self) -> None:
        """Rewrites the settings as of a later start."""
        zones = sorted({n.zone for n in self.nodes.values()})
        for node in self.nodes.values():
            node.write_settings(zones, self.bounds, bootstrap=False)

    def configure(
        self, routes: list[dict[str, Any]], **more: Any
    ) -> tuple[int, int]:
        """Writes a configuration; returns its version and revision."""
        self._version += 3
        services = sorted({r["service"] for r in routes})
        cfg = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": s, "health-path": "/health", "max-conns": 260}
                for s in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 16777216,
                "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000,
            },
            **more,
        }
        return self._version, self.store.put(
            "op/config", json.dumps(cfg).encode()
        )

    async def start_nodes(self) -> None:
        """Starts all nodes and waits until they are ready."""
        for node in self.nodes.values():
            await node.start()
        for node in self.nodes.values():
            await node.until_ready()

    async def close(self) -> None:
        """Ends all processes and servers that were started."""
        for node in self.nodes.values():
            node.send_signal(signal.SIGCONT)
            await node.kill()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.store.server.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def _free_port(subnet: int) -> int:
    """Returns the first of twelve ports that are free."""
    while True:
        with socket.socket() as probe:
            probe.bind((f"127.0.{subnet}.11", 0))
            first = int(probe.getsockname()[1])
        if first + 12 >= 65536:
            continue
        try:
            for port in range(first, first + 12):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(type=kind) as probe:
                        probe.bind((f"127.0.{subnet}.11", port))
        except OSError:
            continue
        return first


def make_route(
    name: str, service: str, kind: str = "unsafe", **more: Any
) -> dict[str, Any]:
    """Returns a route for `/NAME/` of the host `HOST`."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeout-ms": 1500,
        "aim-ms": 400,
        "priority": 1,
        "attempts": 3,
        **more,
    }


HOST = "shop.example"
