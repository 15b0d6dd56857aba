"""Fixtures of all tests."""

import eliot
import pytest

# Without a destination eliot keeps messages for the first one that is added,
# which would be that of another test.
eliot.add_destinations(lambda message: None)


@pytest.fixture
def anyio_backend():
    return "asyncio"
