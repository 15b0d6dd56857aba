"""The page of proofs names tests that exist, for each promise and failure."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parents[1]
PAGE = (ROOT / "docs/proofs.md").read_text()
PROMISES = 7
WEAK = "weak variants"
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
    WEAK,
]


def sections(page):
    """Returns the rows of each promise: failure and cell."""
    found = {}
    for part in page.split("\n## ")[1:]:
        title, _, text = part.partition("\n")
        rows = re.findall(r"^\| ([^|]+) \| ([^|]+) \|$", text, re.MULTILINE)
        found[title] = [row for row in rows if row[0] != "failure"]
    return found


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
    found = [p for p in parts if p.splitlines()[0].strip() == name]
    if not found or not example:
        return bool(found)
    return bool(re.search(rf"\| {re.escape(example)} +\|", found[0]))


def exists(reference):
    """Returns whether a test is named that exists."""
    if "::" in reference:
        return _has_test(*reference.split("::"))
    match = re.fullmatch(r"(\S+\.feature): (.*?)(?: \[(.*)\])?", reference)
    return bool(match) and _has_scenario(*match.groups())


def faults(title, rows):
    """Returns what is wrong with the rows of one promise."""
    names = [name for name, _ in rows]
    found = [] if names == FAILURES else [f"{title}: rows {names}"]
    for name, cell in rows:
        references = re.findall(r"`([^`]+)`", cell)
        found += [f"{title}: no {r}" for r in references if not exists(r)]
        excused = re.match(r"not proved: .{10}", cell) and name != WEAK
        if not references and not excused:
            found.append(f"{title}: {name} has neither test nor reason")
    if not any("`" in cell for name, cell in rows if name != WEAK):
        found.append(f"{title}: no proof at all")
    return found


def all_faults(found):
    return [f for title, rows in found.items() for f in faults(title, rows)]


def test_each_promise_names_tests_that_exist():
    found = sections(PAGE)

    assert len(found) == PROMISES
    assert [
        f for title, rows in found.items() for f in faults(title, rows)
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
    found = sections(PAGE.replace(old, new))

    assert all_faults(found)
