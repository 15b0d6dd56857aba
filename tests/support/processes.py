"""Starts the real processes on loopback and waits on conditions.

Every wait is bounded and on a condition; nothing sleeps for a guessed time.
"""

from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
import urllib.error
import urllib.request

SRC = str(pathlib.Path(__file__).resolve().parents[2] / "src")

#: The most a condition may take (s); far above what any of them needs.
LIMIT_S = 30.0
_STEP_S = 0.05

#: Below the usual start of the range for outgoing connections (32768).
_PORTS = (10_000, 32_000)
_SYSTEM_RANDOM = random.SystemRandom()
_returned_ports: set[int] = set()


def free_ports(count: int) -> list[int]:
    """Returns ports of 127.0.0.1 that were free a moment ago.

    They lie below the range that outgoing connections take theirs from, so that
    none of those can take one before its process listens; and none is returned
    twice, since whoever got it first may not listen yet.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            port = _SYSTEM_RANDOM.randrange(*_PORTS)
            if port in _returned_ports:
                continue
            sock = stack.enter_context(socket.socket())
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
            _returned_ports.add(port)
    return ports


def wait_until(
    condition: Callable[[], Any], what: str, limit_s: float = LIMIT_S
) -> Any:
    """Returns the first true value of `condition`; fails after `limit_s`."""
    pause = threading.Event()
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        with contextlib.suppress(OSError):
            value = condition()
            if value:
                return value
        pause.wait(_STEP_S)
    raise AssertionError(f"gave up waiting for {what}")


def fetch(
    url: str,
    method: str = "GET",
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Returns status, header (names in lower case) and body of an exchange."""
    request = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with urllib.request.urlopen(request, timeout=LIMIT_S) as answer:
            fields = {k.lower(): v for k, v in answer.headers.items()}
            return answer.status, fields, answer.read()
    except urllib.error.HTTPError as exc:
        with exc:
            fields = {k.lower(): v for k, v in exc.headers.items()}
            return exc.code, fields, exc.read()


def command(*arguments: str) -> tuple[int, str, str]:
    """Runs a `radishwind` command; returns exit code, output and errors."""
    done = subprocess.run(
        [sys.executable, "-m", "radishwind", *arguments],
        env={**os.environ, "PYTHONPATH": SRC},
        capture_output=True,
        text=True,
        timeout=2 * LIMIT_S,
        check=False,
    )
    return done.returncode, done.stdout, done.stderr


class Process:
    """One `radishwind` process; it is ended by its id and by nothing else."""

    def __init__(self, *arguments: str, **environ: str) -> None:
        # A file, since nobody reads along and a full pipe would stop it.
        self._log = tempfile.TemporaryFile()  # noqa: SIM115
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "radishwind", *arguments],
            env={**os.environ, "PYTHONPATH": SRC, **environ},
            stderr=self._log,
        )

    def send(self, number: signal.Signals) -> None:
        self._popen.send_signal(number)

    def wait(self) -> int:
        return self._popen.wait(LIMIT_S)

    def running(self) -> bool:
        return self._popen.poll() is None

    def pid(self) -> int:
        return self._popen.pid

    def cpu_s(self) -> float:
        """Returns the processor time used so far (s)."""
        stat = pathlib.Path(f"/proc/{self.pid()}/stat").read_text()
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self) -> int:
        """Returns the resident memory (bytes)."""
        statm = pathlib.Path(f"/proc/{self.pid()}/statm").read_text()
        return int(statm.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    def peak_resident_bytes(self) -> int:
        """Returns the most resident memory since the start (bytes)."""
        status = pathlib.Path(f"/proc/{self.pid()}/status").read_text()
        (line,) = (x for x in status.splitlines() if x.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self.running():
            self.send(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait()
        self._log.close()

    def log(self) -> str:
        """Returns what the process has logged so far."""
        size = os.fstat(self._log.fileno()).st_size
        return os.pread(self._log.fileno(), size, 0).decode()


class Fleet:
    """A store stand-in, and pairs of a backend stand-in and its node."""

    def __init__(self) -> None:
        self.store_port = free_ports(1)[0]
        self.store = f"127.0.0.1:{self.store_port}"
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, list[int]] = {}
        self.start_store()

    def start_store(self) -> None:
        self.processes["store"] = Process(
            "standin", "store", "--listen", self.store
        )

    def start_backend(self, target: str, *options: str) -> None:
        ports = self.ports.setdefault(target, free_ports(4))
        self.processes[f"backend {target}"] = Process(
            *("standin", "backend", "--name", target),
            *("--listen", f"127.0.0.1:{ports[0]}"),
            *("--node", f"127.0.0.1:{ports[3]}"),
            *options,
        )

    def start_node(
        self, target: str, service: str, domain: str, *options: str
    ) -> None:
        ports = self.ports.setdefault(target, free_ports(4))
        self.processes[f"node {target}"] = Process(
            *("node", "--target", target, "--service", service),
            *("--failure-domain", domain, "--store", self.store),
            *("--caller-listen", f"127.0.0.1:{ports[1]}"),
            *("--peer-listen", f"127.0.0.1:{ports[2]}"),
            *("--admin-listen", f"127.0.0.1:{ports[3]}"),
            *options,
        )

    def caller_url(self, target: str) -> str:
        return f"http://127.0.0.1:{self.ports[target][1]}"

    def backend_url(self, target: str) -> str:
        return f"http://127.0.0.1:{self.ports[target][0]}"

    def admin_url(self, target: str) -> str:
        return f"http://127.0.0.1:{self.ports[target][3]}"

    def status(self, target: str) -> dict[str, Any]:
        body = fetch(self.admin_url(target) + "/v1/status")[2]
        status: dict[str, Any] = json.loads(body)
        return status

    def apply(self, kind: str, file: pathlib.Path) -> None:
        """Runs `radishwind KIND apply`, again until the store answers."""

        def accepted() -> bool:
            process = Process(kind, "apply", "--store", self.store, str(file))
            try:
                return process.wait() == 0
            finally:
                process.end()

        wait_until(accepted, f"{kind} to be accepted")

    def close(self) -> None:
        for process in self.processes.values():
            process.end()

    def __enter__(self) -> "Fleet":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()
