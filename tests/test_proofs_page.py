"""Checks that docs/proofs.md names existing tests.

Guards against a promise or failure without a test, and against references to
tests or scenarios that were renamed or removed.
"""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / "docs/proofs.md").read_text()
PROMISE_COUNT = 8
WEAK_VARIANTS = "weak variants"
FAILURES = [
    "kill",
    "cut connection",
    "freeze and resume",
    "straggler",
    "fail-fast",
    "drain",
    "store down",
    "store slow",
    "write without an answer",
    "lapsed lease",
    "operators race",
    "request that crashes servers",
    "late or out-of-order answers",
    "failures in pairs",
    WEAK_VARIANTS,
]


def parse_promises(page):
    """Returns the rows of each promise, as pairs of failure and cell."""
    rows_by_promise = {}
    for part in page.split("\n## ")[1:]:
        title, _, text = part.partition("\n")
        rows = re.findall(r"^\| ([^|]+) \| ([^|]+) \|$", text, re.MULTILINE)
        rows_by_promise[title] = [row for row in rows if row[0] != "failure"]
    return rows_by_promise


def _has_test(path, name):
    file = ROOT / path
    if not file.is_file():
        return False
    nodes = ast.walk(ast.parse(file.read_text()))
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return any(isinstance(n, kinds) and n.name == name for n in nodes)


def _has_scenario(feature, name, example):
    file = ROOT / "tests/features" / feature
    if not file.is_file():
        return False
    parts = re.split(r"Scenario(?: Outline)?: ", file.read_text())[1:]
    scenarios = [p for p in parts if p.splitlines()[0].strip() == name]
    if not scenarios or not example:
        return bool(scenarios)
    return bool(re.search(rf"\| {re.escape(example)} +\|", scenarios[0]))


def exists(reference):
    """Returns whether the test or scenario of a reference exists."""
    if "::" in reference:
        return _has_test(*reference.split("::"))
    match = re.fullmatch(r"(\S+\.feature): (.*?)(?: \[(.*)\])?", reference)
    return bool(match) and _has_scenario(*match.groups())


def find_faults(title, rows):
    """Returns the faults in the rows of one promise, as sentences."""
    names = [name for name, _ in rows]
    faults = [] if names == FAILURES else [f"{title}: rows {names}"]
    for name, cell in rows:
        references = re.findall(r"`([^`]+)`", cell)
        faults += [f"{title}: no {r}" for r in references if not exists(r)]
        excused = re.match(r"not proved: .{10}", cell) and name != WEAK_VARIANTS
        if not references and not excused:
            faults.append(f"{title}: {name} has neither test nor reason")
    if not any("`" in cell for name, cell in rows if name != WEAK_VARIANTS):
        faults.append(f"{title}: no proof at all")
    return faults


def find_all_faults(rows_by_promise):
    return [
        fault
        for title, rows in rows_by_promise.items()
        for fault in find_faults(title, rows)
    ]


def test_each_promise_names_tests_that_exist():
    rows_by_promise = parse_promises(PAGE)

    assert len(rows_by_promise) == PROMISE_COUNT
    assert [
        fault
        for title, rows in rows_by_promise.items()
        for fault in find_faults(title, rows)
    ] == []


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ("test_killed_node_under_load", "test_gone"),
        ("[the store is slow]", "[the store is purple]"),
        ("leaving.feature", "gone.feature"),
        ("A node tells that it leaves", "A node whispers"),
        ("not proved: probes ask", "probes ask"),
        ("| kill |", "| krill |"),
    ],
)
def test_a_page_that_names_what_does_not_exist_is_refused(old, new):
    assert old in PAGE
    rows_by_promise = parse_promises(PAGE.replace(old, new))

    assert find_all_faults(rows_by_promise)
