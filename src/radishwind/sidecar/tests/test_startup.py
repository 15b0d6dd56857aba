"""A node starts without the certificates and commands it does not need."""

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


def told():
    env = {**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)}
    done = subprocess.run(
        [sys.executable, "-S", "-c", SCRIPT],
        env=env,
        capture_output=True,
        text=True,
        check=True,
    )
    certificates, modules = done.stdout.splitlines()
    return int(certificates), frozenset(modules.split())


def test_no_certificate_is_read():
    assert told()[0] == 0


@pytest.mark.parametrize(
    "name",
    ["aiohttp", "opentelemetry", "hypercorn", "httpx", "typer", "matplotlib"],
)
def test_what_the_platform_does_not_need_is_not_imported(name):
    assert name not in told()[1]
