"""Fixtures of all tests."""

import pytest


@pytest.fixture
def anyio_backend():
    return "asyncio"
