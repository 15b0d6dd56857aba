"""Fixtures of all tests."""

import eliot
import pytest

# Without a destination eliot keeps messages for the first one that is added,
# which would be that of another test.
eliot.add_destinations(lambda message: None)


def pytest_addoption(parser):
    parser.addoption(
        "--refresh-golden",
        action="store_true",
        help="write the golden files of tests/golden anew",
    )


@pytest.fixture
def anyio_backend():
    return "asyncio"
