"""A node starts without certificates and modules that it does not need."""

import os
import subprocess
import sys

import pytest

SCRIPT = """
import sys
from radishwind.sidecar.startup import skip_unneeded_imports
skip_unneeded_imports()
import radishwind.sidecar.program
import ssl
print(len(ssl.create_default_context().get_ca_certs()))
print(*sys.modules)
"""


def start_node():
    env = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    completed = subprocess.run(
        [sys.executable, "-S", "-c", SCRIPT],
        env=env,
        capture_output=True,
        text=True,
        check=True,
    )
    certificates, modules = completed.stdout.splitlines()
    return int(certificates), frozenset(modules.split())


def test_no_certificate_is_read():
    assert start_node()[0] == 0


@pytest.mark.parametrize(
    "name",
    ["aiohttp", "opentelemetry", "hypercorn", "httpx", "typer", "matplotlib"],
)
def test_module_not_needed_on_platform_is_not_imported(name):
    assert name not in start_node()[1]
