"""Commands, large bodies, log lines and documentation of the product.

Guards what issue 3 asks: errors of one line with their exit code, bodies that
pass in bounded memory, logs without secrets, and metrics and pages that are
documented.
"""

import json
import os
import pathlib
import re
import subprocess
import sys

import pytest

from tests.support.processes import command
from tests.support.processes import fetch
from tests.support.processes import Fleet
from tests.support.processes import SRC
from tests.support.processes import wait_until

ROOT = pathlib.Path(__file__).parents[1]
INVENTORY = ROOT / "examples/quickstart/inventory.json"
MEGABYTE = 1_000_000
LARGE_BYTES = 50 * MEGABYTE
PEER_KEY = "peer-secret-0123456789"
BOOKING_KEY = "booking-key-77c1"
BODY = b"rider=body-text-5f0e"

pytestmark = pytest.mark.processes


@pytest.fixture(scope="module")
def fleet():
    with Fleet() as fleet:
        for target, service, domain in (
            ("bollettino-1", "bollettino", "genova-a"),
            ("prenota-1", "prenota", "savona"),
        ):
            fleet.start_backend(target)
            fleet.start_node(target, service, domain, "--peer-key", PEER_KEY)
        fleet.apply("inventory", INVENTORY)
        for target in ("bollettino-1", "prenota-1"):
            for path in ("/bollettino/x", "/prenota/x"):
                url = fleet.caller_url(target) + path
                wait_until(lambda url=url: fetch(url)[0] == 200, url)
        yield fleet


def test_the_program_has_help():
    code, out, err = command("--help")

    assert (code, err) == (0, "")
    assert "Usage:" in out


def test_completion_is_a_script_of_the_shell():
    # The command detects the shell that it was called from.
    line = f"{sys.executable} -m radishwind --show-completion bash; exit $?"
    done = subprocess.run(
        ["bash", "-c", line],
        env={**os.environ, "PYTHONPATH": SRC},
        capture_output=True,
        text=True,
        check=False,
    )

    assert done.returncode == 0
    assert "complete -o default -F" in done.stdout


def test_a_wrong_setting_ends_a_node_with_its_code():
    code, _, err = command("node", "--stop-grace-s", "long", "--target", "a")

    assert code == 78
    assert err.startswith("radishwind: RW-1001: ")


def test_a_taken_port_ends_a_node_with_its_code(fleet):
    taken = f"127.0.0.1:{fleet.ports['prenota-1'][3]}"

    code, _, err = command(
        *("node", "--target", "a", "--service", "b", "--failure-domain", "c"),
        *("--store", fleet.store, "--admin-listen", taken),
        *("--peer-listen", "127.0.0.1:0", "--caller-listen", "127.0.0.1:0"),
    )

    assert code == 78
    assert err.splitlines()[-1].startswith("radishwind: RW-1001: ")
    assert "Traceback" not in err


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (("status", "--admin"), 69, "RW-6006: 127.0.0.1:"),
        (("report", "burn", "--admin"), 69, "RW-6006: 127.0.0.1:"),
        (("inventory", "show", "--admin"), 69, "RW-6006: 127.0.0.1:"),
        (("inventory", "show", "--store"), 70, "RW-5003: kv/range: expected"),
        (
            ("inventory", "apply", str(INVENTORY), "--store"),
            *(69, "RW-5001: change not accepted: RW-5003: kv/range: expected"),
        ),
        (("changes", "show", "--store"), 70, "RW-5003: kv/range: expected"),
    ],
)
def test_an_answer_of_another_program_is_one_line(fleet, arguments, code, text):
    other = fleet.backend_url("prenota-1").removeprefix("http://")

    exit_code, _, err = command(*arguments, other)

    assert exit_code == code
    assert err.startswith(f"radishwind: {text}")
    assert len(err.splitlines()) == 1


def test_a_read_and_a_booking_are_answered(fleet):
    entry = fleet.caller_url("bollettino-1")

    read = fetch(entry + "/bollettino/spots/recco")
    booked = fetch(
        entry + "/prenota/sessions",
        "POST",
        BODY,
        {"Idempotency-Key": BOOKING_KEY},
    )

    assert (
        read[2] == b"bollettino-1 ran GET /bollettino/spots/recco (0 bytes)\n"
    )
    assert booked[2] == b"prenota-1 ran POST /prenota/sessions (20 bytes)\n"


@pytest.mark.parametrize("way", ["up", "down"])
def test_a_large_body_passes_in_bounded_memory(fleet, way):
    nodes = [fleet.processes[f"node {t}"] for t in fleet.ports]
    before = [node.resident_bytes() for node in nodes]
    base = fleet.caller_url("prenota-1") + "/bollettino"

    if way == "up":
        body = fetch(base + "/clip", "POST", b"." * LARGE_BYTES)[2]
        assert body.endswith(b"(50000000 bytes)\n")
    else:
        body = fetch(f"{base}/standin/bytes/{LARGE_BYTES}")[2]
        assert len(body) == LARGE_BYTES

    after = [node.peak_resident_bytes() for node in nodes]
    grown = [b - a for a, b in zip(before, after, strict=True)]
    assert max(grown) < 10 * MEGABYTE


def test_sample_load_prints_the_outcomes_of_its_requests(fleet):
    entry = fleet.caller_url("prenota-1").removeprefix("http://")

    code, out, _ = command(
        *("standin", "load", "--entry", entry, "--per-s", "50"),
        *("--length-s", "1", "--seed", "3"),
    )

    rows = [line.split() for line in out.splitlines()[1:]]
    assert code == 0
    assert [row[0] for row in rows] == ["bollettino", "prenota"]
    assert all(int(row[1]) == sum(map(int, row[2:])) > 0 for row in rows)


def test_log_lines_have_a_part_and_hold_no_secret(fleet):
    entry = fleet.caller_url("prenota-1")
    fields = {"Idempotency-Key": BOOKING_KEY}
    # The same key with another body is an error whose text could quote the key.
    answers = [
        fetch(entry + "/prenota/sessions", "POST", body, fields)
        for body in (BODY, b"another")
    ]
    assert answers[1][1]["radishwind-code"] == "2004"

    texts = [fleet.processes[f"node {t}"].log() for t in fleet.ports]
    texts += [str(answers[1])]
    texts += [str(fleet.status(target)) for target in fleet.ports]

    for secret in (PEER_KEY, BOOKING_KEY, BODY.decode()):
        assert not [text for text in texts if secret in text]
    for line in "".join(texts[:2]).splitlines():
        assert re.match(r"[a-z]+: \S", json.loads(line)["text"])


def test_every_page_is_linked_from_the_index():
    docs = ROOT / "docs"
    index = (docs / "index.md").read_text()
    linked = set(re.findall(r"\]\(([^)#]+)", index))

    pages = {str(page.relative_to(docs)) for page in docs.rglob("*.md")}
    pages -= {p for p in pages if p.startswith("changes/")} | {"index.md"}

    assert pages - linked == set()
    assert [link for link in linked if not (docs / link).exists()] == []


def test_every_metric_is_documented(fleet):
    resources = json.loads(
        fetch(fleet.admin_url("prenota-1") + "/v1/metrics")[2]
    )
    metrics = {
        (metric["name"], metric["unit"])
        for resource in resources["resource_metrics"]
        for scope in resource["scope_metrics"]
        for metric in scope["metrics"]
    }
    page = (ROOT / "docs/telemetry.md").read_text()

    assert metrics == set(re.findall(r"\| `([a-z._]+)` \| (\S+) \|", page))
