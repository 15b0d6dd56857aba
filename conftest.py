"""Fixtures of all tests, and the tests known to fail."""

import pathlib

import eliot
import hypothesis
import pytest

from radishwind.supervision import failure_log

# The same examples in each run, and no verdict by how long one took;
# --hypothesis-profile=explore draws others.
hypothesis.settings.register_profile("ci", derandomize=True, deadline=None)
hypothesis.settings.register_profile("explore", deadline=None)
hypothesis.settings.load_profile("ci")

# Without a destination eliot keeps messages for the first one that is added,
# which would be that of another test.
eliot.add_destinations(lambda message: None)


def pytest_addoption(parser):
    parser.addoption(
        "--refresh-golden",
        action="store_true",
        help="write the golden files of tests/golden anew",
    )
    parser.addoption(
        "--known-red",
        action="store_true",
        help="also run the tests that KNOWN-RED.txt lists",
    )


def pytest_collection_modifyitems(config, items):
    """Passes over exactly the tests listed as `test NODE-ID ...`."""
    if config.getoption("--known-red"):
        return
    listed = _known_red()
    red = [item for item in items if item.nodeid in listed]
    config.hook.pytest_deselected(items=red)
    items[:] = [item for item in items if item.nodeid not in listed]


def pytest_terminal_summary(terminalreporter):
    for name in sorted(_known_red()):
        terminalreporter.write_line(f"KNOWN-RED, not run: {name}")


def _known_red():
    path = pathlib.Path(__file__).with_name("KNOWN-RED.txt")
    lines = path.read_text().splitlines() if path.exists() else []
    words = [line.split() for line in lines]
    return {w[1] for w in words if len(w) > 1 and w[0] == "test"}


@pytest.fixture
def anyio_backend():
    return "asyncio"


@pytest.fixture(autouse=True)
def no_contained_errors():
    """Fails a test in which an error was contained unnoticed.

    A test that expects errors sets a failure log of its own.
    """
    log = failure_log()
    before = dict(log.counts)
    yield
    assert log.counts == before, f"expected no errors: {log.last_errors}"
