"""docs/supervision.md lists exactly the duties of both programs."""

import os
import pathlib
import re

import pytest

from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.node.app import Node
from radishwind.settings import NodeSettings
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.app import SidecarNode
from radishwind.telemetry.bounded_output import BoundedOutput

pytestmark = pytest.mark.anyio

PAGE = pathlib.Path(__file__).parents[1] / "docs/supervision.md"


def documented():
    """Returns the duties on the platform, and those of the library's node."""
    table = PAGE.read_text().partition("## Duties")[2].partition("\n## ")[0]
    rows = re.findall(r"^\|[^|]*\|([^|]*)\|([^|]*)\|$", table, re.MULTILINE)
    platform, library = set(), set()
    for on_platform, in_library in rows:
        names = set(re.findall(r"`([a-z_.]+)`", on_platform))
        platform |= names
        is_same = in_library.strip() == "the same"
        library |= (
            names if is_same else set(re.findall(r"`([a-z_.]+)`", in_library))
        )
    return platform, library


async def test_duties_of_a_platform_node_are_documented():
    addresses = {
        name: Address("127.0.0.1", 7601 + i)
        for i, name in enumerate(("callers", "ready", "control", "server"))
    }
    settings = PlacedSettings(
        node="a-1",
        service="s",
        failure_domain="a",
        failure_domains=("a", "b"),
        host="127.0.0.1",
        peer_port=7600,
        store=Address("127.0.0.1", 7627),
        metrics_port=0,
        heartbeat_s=1.0,
        drain_s=2.0,
        stop_grace_s=6.0,
        ack_s=4.0,
        retry_share=0.2,
        retry_slack=20.0,
        retry_window_s=10.0,
        **addresses,
    )
    output = BoundedOutput(os.open(os.devnull, os.O_WRONLY))
    node = SidecarNode(settings, ManualClock(), None, output)
    node._build()

    names = [duty.name for duty in node._duties()]

    assert len(names) == len(set(names))
    assert set(names) == documented()[0]


async def test_duties_of_a_library_node_are_documented():
    settings = NodeSettings(
        target="t",
        service="s",
        failure_domain="a",
        store=Address("127.0.0.1", 7627),
    )
    node = Node(settings, ManualClock())

    names = [duty.name for duty in (*node._claims.duties(), *node._duties())]

    assert len(names) == len(set(names))
    assert set(names) == documented()[1]
