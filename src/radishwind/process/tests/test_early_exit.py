"""The last line of a process without a log is JSON and never blocks."""

import fcntl
import json
import os

import pytest

from radishwind.process.early_exit import write_last_line


@pytest.fixture
def pipe():
    read_fd, write_fd = os.pipe()
    yield read_fd, write_fd
    os.close(read_fd)
    os.close(write_fd)


def test_line_names_the_cause_and_the_status(pipe):
    write_last_line(pipe[1], 0, "SIGTERM")

    line = json.loads(os.read(pipe[0], 65536))

    assert (line["text"], line["level"]) == ("process: Ended.", "info")
    assert (line["status"], line["cause"]) == (0, "SIGTERM")


@pytest.mark.parametrize("reason", ['"quoted" \\', "line\nnext", "\udc80é"])
def test_any_reason_gives_valid_json(pipe, reason):
    write_last_line(pipe[1], 78, "settings", reason)

    line = json.loads(os.read(pipe[0], 65536))

    assert (line["status"], line["level"]) == (78, "error")
    assert line["reason"]


def test_full_pipe_does_not_block(pipe):
    fcntl.fcntl(pipe[1], fcntl.F_SETPIPE_SZ, 4096)
    os.write(pipe[1], b"x" * 4096)

    write_last_line(pipe[1], 0, "SIGTERM")


def test_closed_descriptor_is_no_error(pipe):
    closed = os.dup(pipe[1])
    os.close(closed)

    write_last_line(closed, 0, "SIGTERM")
