"""A small deployment on loopback addresses for the cases of this review.

The nodes are the program of the deploy file, each a process of its own. The
store is the project's stand-in; servers and clients are written here. They
speak HTTP/1.1 over plain sockets, so that a case controls when each byte is
sent and read.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any
import uuid

from aiohttp import web

from radishwind.core.clock import SystemClock
from radishwind.standins.platform_store import PlatformStoreStandin

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
HEALTH_PATH = "/health"

#: The exit statuses of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: The bounds that the nodes get; those of a small deployment.
BOUNDS = (
    "seed-lag-s=3",
    "reuse-after-s=2",
    "stable-ms=3000",
    "ack-ms=4000",
    "catch-up-s=4",
    "drain-ms=2000",
    "grace-s=6",
    "loss-slack-ms=200",
    "config-ms=2000",
    "rollback-slack-ms=250",
    "max-skew-ms=5000",
    "retry-ratio=0.2",
    "retry-window-s=10",
    "retry-slack=62",
    "recovery-s=15",
    "probes-per-s=60",
)

_READY_WITHIN_S = 25.0
_POLL_S = 0.1
_MAX_HEAD_BYTES = 65_536

_OUTBOUND, _INBOUND, _READY, _CONTROL, _APP, _PEER, _STORE, _METRICS = range(8)


class CannotRunError(Exception):
    """The case could not be set up."""


class Record:
    """The events of a run, in the order in which they happened."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / "record.txt"
        self._began = time.monotonic()
        self.lines: list[str] = []

    def add(self, text: str) -> None:
        """Adds an event with the time since the start (s)."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        self.lines.append(line)

    def write(self) -> None:
        """Writes all events to the file of the case."""
        self._path.write_text("\n".join(self.lines) + "\n")


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
      first: the parts of the first line.
      fields: the header fields, by lower-case name.
      body: the body as far as it was read.
      is_whole: whether the message was received to its end.
    """

    first: tuple[str, str, str]
    fields: dict[str, str]
    body: bytes = b""
    is_whole: bool = False

    @property
    def status(self) -> int:
        """The status of a response; 0 if there is none."""
        return int(self.first[1]) if self.first[1].isdigit() else 0

    @property
    def length(self) -> int:
        """The length that the head states (bytes)."""
        return int(self.fields.get("content-length", "0"))


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Reads a head.

    Raises:
      EOFError: the connection ended before it was complete.
    """
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    parts = lines[0].split(" ", 2)
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            fields[name.lower()] = value.strip()
    return Message((parts[0], parts[1], [*parts, ""][2]), fields)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads the body of `message` by its length or its chunks."""
    if message.fields.get("transfer-encoding", "").lower() != "chunked":
        message.body = await reader.readexactly(message.length)
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        message.body += chunk[:-2]


def encode(first: str, fields: dict[str, str], body: bytes | None) -> bytes:
    """Returns a message; a body gets its length, `None` leaves it out."""
    lines = [first, *(f"{k}: {v}" for k, v in fields.items())]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


@dataclasses.dataclass(slots=True)
class Arrival:
    """A request that a server received.

    Attributes:
      attempt_id: its id.
      at: when it arrived (monotonic s).
      has_run: whether the server began to work on it.
      fields: its header fields.
    """

    attempt_id: str
    at: float
    has_run: bool
    fields: dict[str, str]


#: Answers a request in place of the usual way; returns whether to go on with
#: the connection.
Behaviour = Callable[
    ["Server", Message, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[bool],
]


class Server:
    """A sound backend server, as the pages describe one."""

    def __init__(self, machine: "Machine", record: Record) -> None:
        self.machine = machine
        self.record = record
        self.incarnation = f"i-{uuid.uuid4().hex[:10]}"
        self.slots = 8
        self.work_s = 0.05
        self.state = "ready"
        self.arrivals: list[Arrival] = []
        # The same, noted when the head came.
        self.seen: list[Arrival] = []
        self.behaviour: Behaviour | None = None
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._running = 0
        self._gate = asyncio.Semaphore(self.slots)
        self._listener: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None
        self._connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listens and begins to send heartbeats."""
        ip, port = self.machine.address(_APP)
        self._listener = await asyncio.start_server(
            self._serve, ip, port, limit=_MAX_HEAD_BYTES
        )
        self._beats = asyncio.create_task(self._send_heartbeats())

    def stop_heartbeats(self) -> None:
        """Sends no more heartbeats; goes on serving."""
        if self._beats is not None:
            self._beats.cancel()

    async def stop(self) -> None:
        """Ends at once, as a crash does."""
        if self._beats is not None:
            self._beats.cancel()
        if self._listener is not None:
            self._listener.close()
        for writer in list(self._connections):
            writer.transport.abort()
        await asyncio.sleep(0)

    def set_slots(self, slots: int) -> None:
        """Sets how many requests it runs at once."""
        self.slots = slots
        self._gate = asyncio.Semaphore(slots)

    def runs(self, attempt_id: str) -> int:
        """Returns how often it ran a request."""
        return sum(
            a.has_run for a in self.arrivals if a.attempt_id == attempt_id
        )

    def load(self) -> str:
        """Returns the value of `Server-Load`."""
        return f"{self._running},0,{self.slots},100"

    def note(self, message: Message, *, has_run: bool) -> None:
        """Records the arrival of a request."""
        attempt_id = message.fields.get("attempt-id", "")
        self.arrivals.append(
            Arrival(attempt_id, time.monotonic(), has_run, message.fields)
        )
        did = "runs" if has_run else "rejects"
        self.record.add(f"server {self.machine.name} {did} {attempt_id}")

    def answer(
        self, message: Message, status: int, body: bytes, **fields: str
    ) -> bytes:
        """Returns an answer to `message` with this server's proof."""
        attempt_id = message.fields.get("attempt-id", "")
        own = {
            "Attempt-Id": attempt_id,
            "Response-Signature": f"{self.incarnation}.{attempt_id}",
            "Server-Load": self.load(),
            **{k.replace("_", "-"): v for k, v in fields.items()},
        }
        return encode(f"HTTP/1.1 {status} Status", own, body)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections.add(writer)
        try:
            while await self._serve_one(reader, writer):
                await writer.drain()
        except (EOFError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._connections.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        message = await read_head(reader)
        if message.first[1] == HEALTH_PATH:
            is_well = self.state == "ready"
            own = {"Instance-Id": self.incarnation, "Server-Load": self.load()}
            first = f"HTTP/1.1 {200 if is_well else 503} Status"
            writer.write(encode(first, own, b""))
            return True
        expected = message.fields.get("expect-instance", self.incarnation)
        if expected != self.incarnation:
            await read_body(reader, message)
            own = {
                "Instance-Id": self.incarnation,
                "Attempt-Id": message.fields.get("attempt-id", ""),
            }
            writer.write(encode("HTTP/1.1 421 Status", own, b""))
            return True
        attempt_id = message.fields.get("attempt-id", "")
        self.seen.append(
            Arrival(attempt_id, time.monotonic(), False, message.fields)
        )
        if self.behaviour is not None:
            return await self.behaviour(self, message, reader, writer)
        return await self.run(message, reader, writer)

    async def run(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Reads a request and runs it in a free slot."""
        await read_body(reader, message)
        async with self._gate:
            self.note(message, has_run=True)
            self._running += 1
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self._running -= 1
        body = f"done {message.fields.get('attempt-id')}".encode()
        writer.write(self.answer(message, 200, body))
        return True

    async def _send_heartbeats(self) -> None:
        while True:
            with contextlib.suppress(OSError, EOFError, TimeoutError):
                await self.tell("Heartbeat")
            await asyncio.sleep(1.5)

    async def tell(self, method: str) -> int:
        """Tells the node of this machine of itself; returns the status."""
        return await self.post(self.make_call(method))

    def make_call(self, method: str) -> bytes:
        """Returns a call to the node as of now."""
        self._sequence += 1
        ip, port = self.machine.address(_APP)
        said = {
            "service": self.machine.service,
            "address": f"{ip}:{port}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup-left-ms": 0,
            "seq": self._sequence,
            "born": self._born,
        }
        path = f"/-/Instances.{method}/{self.incarnation}"
        fields = {"Host": "control", "Content-Type": "application/json"}
        body = json.dumps(said).encode()
        return encode(f"POST {path} HTTP/1.1", fields, body)

    async def post(self, raw: bytes) -> int:
        """Sends a call to the node of this machine; returns the status."""
        answer = await exchange(self.machine.address(_CONTROL), raw, 1.0)
        return answer.status


async def exchange(
    address: tuple[str, int], raw: bytes, timeout_s: float
) -> Message:
    """Sends `raw` on a new connection and returns the answer."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(raw)
            answer = await read_head(reader)
            await read_body(reader, answer)
            answer.is_whole = True
            return answer
        finally:
            writer.close()


class Machine:
    """A machine with a node and a server."""

    def __init__(self, name: str, ip: str, zone: str, service: str) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        self.base_port = 0
        self.settings_path = pathlib.Path()
        self.log_path = pathlib.Path()
        self.process: subprocess.Popen[bytes] | None = None
        self.server: Server

    def address(self, which: int) -> tuple[str, int]:
        """Returns the address of one of the listeners."""
        return (self.ip, self.base_port + which)

    @property
    def outbound(self) -> tuple[str, int]:
        """Where clients send their requests."""
        return self.address(_OUTBOUND)

    def start_node(self, command: list[str]) -> None:
        """Starts the program of the deploy file."""
        if self.process is not None:
            # Only the first start of the whole system is marked as such.
            text = self.settings_path.read_text()
            text = text.replace("bootstrap = true", "bootstrap = false")
            self.settings_path.write_text(text)
        environ = {
            k: os.environ[k]
            for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        environ["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environ["RADISHWIND_BOOT"] = str(self.settings_path)
        environ["RADISHWIND_METRICS_PORT"] = str(self.base_port + _METRICS)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environ, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the node."""
        assert self.process is not None
        self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process of the node runs."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        """Returns whether the node says that it is ready."""
        raw = encode("GET /-/ready HTTP/1.1", {"Host": "ready"}, None)
        try:
            answer = await exchange(self.address(_READY), raw, 1.0)
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    def end(self) -> None:
        """Kills the node if it still runs."""
        if self.process is None:
            return
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Deployment:
    """The machines, the store and the operator's configuration."""

    def __init__(self, record: Record, services: list[str]) -> None:
        """Creates a deployment with one machine for each entry.

        Args:
          record: the events of the run.
          services: the service of each machine.
        """
        self.record = record
        net = random.randint(16, 250), random.randint(1, 250)
        self.machines = [
            Machine(
                f"sidecar-{number}",
                f"127.{net[0]}.{net[1]}.{number + 1}",
                "zone-a" if number % 2 else "zone-b",
                service,
            )
            for number, service in enumerate(services, 1)
        ]
        self.folder = tempfile.TemporaryDirectory()
        self.bounds: tuple[str, ...] = BOUNDS
        self.store = PlatformStoreStandin(SystemClock())
        self._runner: web.AppRunner | None = None
        self._leases: asyncio.Task[None] | None = None
        self._version = 100
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.command = deploy["roles"]["node"]["run"].split()

    async def start(self, routes: list[dict[str, Any]], **more: Any) -> None:
        """Starts the store, the servers and the nodes."""
        if not (ROOT / "target" / "deps" / "radishwind").is_dir():
            raise CannotRunError("target/deps is missing; run deploy/build")
        base_port = _find_free_ports([m.ip for m in self.machines])
        self._runner = web.AppRunner(
            self.store.make_application(),
            access_log=None,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        self._leases = asyncio.create_task(self.store.run())
        self.configure(routes, **more)
        folder = pathlib.Path(self.folder.name)
        for machine in self.machines:
            machine.base_port = base_port
            machine.settings_path = folder / f"{machine.name}.toml"
            machine.log_path = folder / f"{machine.name}.log"
            # The stand-in knows a node by the address at which it is called.
            await web.TCPSite(self._runner, *machine.address(_STORE)).start()
            machine.settings_path.write_text(self._settings(machine))
            machine.server = Server(machine, self.record)
            await machine.server.start()
            machine.start_node(self.command)
        await self.until_ready()

    async def until_ready(self) -> None:
        """Waits until all nodes are ready and the servers are known."""
        deadline = time.monotonic() + _READY_WITHIN_S
        for machine in self.machines:
            while not await machine.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRunError(f"{machine.name} is not ready")
                await asyncio.sleep(_POLL_S)
        await asyncio.sleep(4.0)

    def configure(self, routes: list[dict[str, Any]], **more: Any) -> None:
        """Writes a configuration as the operator does."""
        self._version += 3
        services = sorted({m.service for m in self.machines})
        cfg = {
            "version": self._version,
            "routes": routes,
            "services": [
                {"name": name, "health-path": HEALTH_PATH, "max-conns": 260}
                for name in services
            ],
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 8388608,
                "header-timeout-ms": 5000,
                "idle-timeout-ms": 15000,
            },
            **more,
        }
        self.store.put("op/config", json.dumps(cfg).encode())
        self.record.add(f"the operator writes version {self._version}")

    def _settings(self, machine: Machine) -> str:
        def at(which: int) -> str:
            return ":".join(map(str, machine.address(which)))

        peer = machine.base_port + _PEER
        return f"""
node = "{machine.name}"
role = "node"
machine-class = "sidecar"
serves = ["sidecar"]
ip = "{machine.ip}"
zone = "{machine.zone}"
region = "here"
port-range = [{peer},{peer}]
seeds = []
bootstrap = true
loss-counts = false
discovery = "static"
entry = "static"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","retry","recover","health"]
bounds = {json.dumps(self.bounds)}
app-addr = "{at(_APP)}"
service = "{machine.service}"
[zones]
zone-a = "here"
zone-b = "here"
[listen]
inbound = "{at(_INBOUND)}"
outbound = "{at(_OUTBOUND)}"
ready = "{at(_READY)}"
control = "{at(_CONTROL)}"
[limits]
cpu-share = 0.86
cores = 1
memory-mb = 300
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 1
zones = 0
regions = 0
[provider]
address = "{at(_STORE)}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""

    async def close(self, keep_logs: pathlib.Path | None = None) -> None:
        """Ends all processes and listeners."""
        for machine in self.machines:
            machine.end()
            if machine.base_port and hasattr(machine, "server"):
                await machine.server.stop()
            if keep_logs is not None and machine.log_path.is_file():
                text = machine.log_path.read_text(errors="replace")
                (keep_logs / machine.log_path.name).write_text(text)
        if self._leases is not None:
            self._leases.cancel()
        if self._runner is not None:
            await self._runner.cleanup()
        self.folder.cleanup()


def route(service: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns the route `/SERVICE/` in the operator's format."""
    return {
        "name": f"r-{service}-{kind}",
        "host": HOST,
        "prefix": f"/{service}/{kind}/",
        "kind": kind,
        "timeout-ms": 5000,
        "aim-ms": 1000,
        "priority": 1,
        "service": service,
        "attempts": 2,
        **more,
    }


def new_id() -> str:
    """Returns a new id of a client attempt."""
    return uuid.uuid4().hex[:16]


def request_head(
    method: str, path: str, attempt_id: str, timeout_ms: int, **fields: str
) -> bytes:
    """Returns the head of a client's request."""
    own = {
        "Host": HOST,
        "Attempt-Id": attempt_id,
        "Timeout-Ms": str(timeout_ms),
        **{k.replace("_", "-"): v for k, v in fields.items()},
    }
    return encode(f"{method} {path} HTTP/1.1", own, None)


def has_trouble() -> bool:
    """Returns whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(
    folder: pathlib.Path, play: Callable[[Record], Awaitable[int]]
) -> None:
    """Plays a case and exits with its status."""
    record = Record(folder)
    status = NOT_RUN
    try:
        status = asyncio.run(_play_within(play, record))
    except Exception as exc:
        record.add(f"the case could not run: {exc!r}")
    record.add(f"exit status {status}")
    record.write()
    print("\n".join(record.lines[-6:]))
    sys.exit(status)


async def _play_within(
    play: Callable[[Record], Awaitable[int]], record: Record
) -> int:
    async with asyncio.timeout(110):
        return await play(record)


def _find_free_ports(hosts: list[str]) -> int:
    """Returns a port from which on some ports are free at all hosts."""
    for _ in range(200):
        base = random.randint(20_000, 29_000)
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in range(base, base + _METRICS + 1):
                        sock = stack.enter_context(socket.socket())
                        sock.bind((host, port))
            except OSError:
                continue
            return base
    raise CannotRunError("no free ports")
