"""A request that crashes servers, through real processes.

Guards against retries that carry such a request to one server after another:
after the second crash every node must refuse it, and only it.
"""

import json

import pytest

from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import wait_until

NAMES = ("library-1", "library-2", "library-3")

pytestmark = pytest.mark.processes


@pytest.fixture
def fleet(tmp_path):
    file = tmp_path / "inventory.json"
    target = {"service": "library", "failure_domain": "rk-annex", "slots": 6}
    file.write_text(
        json.dumps(
            {
                "failure_domains": [{"name": "rk-annex"}],
                "services": [{"name": "library"}],
                "targets": [{"name": name, **target} for name in NAMES],
            }
        )
    )
    with Fleet() as fleet:
        for name in NAMES:
            fleet.start_backend(name)
            fleet.start_node(name, "library", "rk-annex")
        fleet.apply("inventory", file)
        for name in NAMES:
            wait_until(
                lambda name=name: fleet.status(name)["members"] == 3, name
            )
            wait_until(
                lambda name=name: get(fleet, name, "/library/clip")[0] == 200,
                name,
            )
        yield fleet


def get(fleet, name, path):
    return fetch(fleet.caller_url(name) + path)


def find_crashed(fleet):
    return [n for n in NAMES if not fleet.processes[f"backend {n}"].running()]


def get_code(fleet, name, path):
    return get(fleet, name, path)[1].get("radishwind-code")


def test_it_crashes_two_servers_and_is_refused_everywhere_then(fleet):
    poison = "/library/standin-crash"

    def refused(name):
        for down in find_crashed(fleet):
            fleet.start_backend(down)
            crashes.append(down)
        return get_code(fleet, name, poison) == "3007"

    crashes = []
    for name in NAMES:
        wait_until(lambda name=name: refused(name), f"the refusal of {name}")
    status, fields, _ = get(fleet, NAMES[0], poison)

    assert status == 503
    assert fields["radishwind-outcome"] == "not-run"
    assert int(fields["retry-after"]) > 0
    assert 2 <= len(crashes) <= 3
    assert len(set(crashes)) >= 2
    for name in NAMES:
        wait_until(
            lambda name=name: get(fleet, name, "/library/clip")[0] == 200, name
        )
