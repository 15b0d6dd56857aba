"""Nothing of libraries or the interpreter goes to the standard error."""

import json
import os
import subprocess
import sys

PROGRAM = """
import logging
from radishwind.core.clock import SystemClock
from radishwind.process.stray_errors import log_stray_errors
from radishwind.telemetry.bounded_output import start_bounded_logging
from radishwind.telemetry.part_logger import PartLogger

class Broken:
    def __del__(self):
        raise KeyError("a secret")

start_bounded_logging(1)
log_stray_errors(PartLogger("process", SystemClock()))
logging.getLogger("asyncio").warning("socket.send() raised: a secret")
try:
    raise ValueError("a secret")
except ValueError:
    logging.getLogger("uvloop").exception("a secret")
Broken()
"""


def test_warnings_and_ignored_errors_are_log_lines_without_their_text():
    completed = subprocess.run(
        [sys.executable, "-c", PROGRAM],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        check=True,
    )

    lines = [json.loads(line) for line in completed.stdout.splitlines()]
    assert completed.stderr == ""
    assert "secret" not in completed.stdout
    assert [line["text"] for line in lines] == [
        "process: The library asyncio warned.",
        "process: The library uvloop warned.",
        "process: An error could not be raised.",
    ]
    assert [line.get("kind") for line in lines] == [
        None,
        "ValueError",
        "KeyError",
    ]
