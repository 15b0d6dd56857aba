"""Log output never blocks; dropped lines are counted."""

import errno
import json
import os

import pytest

from radishwind.core.clock import ManualClock
from radishwind.core.clock import SystemClock
from radishwind.telemetry.bounded_output import BoundedOutput
from radishwind.telemetry.bounded_output import MAX_BUFFERED_BYTES


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    yield read_fd, write_fd
    for fd in (read_fd, write_fd):
        try:
            os.close(fd)
        except OSError:
            continue


def read_all(fd, output):
    os.set_blocking(fd, False)
    data = b""
    while True:
        output.flush()
        try:
            piece = os.read(fd, 65536)
        except BlockingIOError:
            return data
        if not piece:
            return data
        data += piece


def test_lines_arrive_complete_and_in_order(pipe):
    output = BoundedOutput(pipe[1])
    for number in range(100):
        output.write({"n": number})

    lines = read_all(pipe[0], output).splitlines()

    assert [json.loads(line)["n"] for line in lines] == list(range(100))


def test_stalled_reader_drops_lines_without_blocking(pipe):
    output = BoundedOutput(pipe[1])
    written = 0
    while not output.dropped:
        output.write({"n": written, "text": "x" * 1000})
        written += 1
        assert written < 2 * MAX_BUFFERED_BYTES

    read_all(pipe[0], output)
    output.write({"n": "last"})
    lines = [
        json.loads(line) for line in read_all(pipe[0], output).splitlines()
    ]

    assert lines[-1]["n"] == "last"
    assert lines[-2]["lines"] == 1


def test_closed_reader_drops_lines_without_error(pipe):
    output = BoundedOutput(pipe[1])
    os.close(pipe[0])

    output.write({"n": 1})
    output.write({"n": 2})

    assert output.dropped == 2


def test_flush_within_a_limit_writes_what_the_reader_takes(pipe):
    output = BoundedOutput(pipe[1])
    for number in range(400):
        output.write({"n": number, "text": "x" * 400})
    data = b""

    def read_some():
        nonlocal data
        data += os.read(pipe[0], 1 << 20)
        return 0.0

    clock = ManualClock()
    clock.monotonic = read_some
    output.flush_within(1.0, clock)
    data += os.read(pipe[0], 1 << 20)

    assert json.loads(data.splitlines()[-1])["n"] == 399


def test_flush_within_a_limit_gives_up_on_a_stalled_reader(pipe):
    output = BoundedOutput(pipe[1])
    while not output.dropped:
        output.write({"text": "x" * 1000})

    output.flush_within(0.01, SystemClock())


def test_field_that_is_no_unicode_text_is_logged_without_an_error(pipe):
    output = BoundedOutput(pipe[1])

    output.write({"text": "a: b.", "path": "caf\udce9"})

    line = json.loads(os.read(pipe[0], 65536))
    assert line["text"] == "a: b."
    assert "caf" in line["path"]


def test_line_after_a_torn_one_starts_anew(tmp_path, monkeypatch):
    path = tmp_path / "log"
    write = os.write
    accepted_bytes = iter((10, None, 1000))

    def write_to_full_disk(fd, data):
        count = next(accepted_bytes, 1000)
        if count is None:
            raise OSError(errno.ENOSPC, "no space")
        return write(fd, data[:count])

    with path.open("wb") as file:
        output = BoundedOutput(file.fileno())
        monkeypatch.setattr(os, "write", write_to_full_disk)
        output.write({"text": "a line that is torn"})
        output.write({"text": "whole"})

    assert json.loads(path.read_text().splitlines()[-1]) == {"text": "whole"}
