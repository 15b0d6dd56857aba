"""Fixtures and step definitions shared by several features."""

import dataclasses

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.proofs.golden import GoldenFiles
from tests.proofs.sessions import find_violations
from tests.proofs.sessions import KEYED_BOOKING
from tests.proofs.sessions import run_session
from tests.proofs.sessions import UNWEAKENED
from tests.proofs.sessions import WEAK_VARIANTS
from tests.proofs.sessions import WeakVariant


@dataclasses.dataclass
class ScenarioState:
    """State that the steps of one scenario share.

    Attributes:
      name: name of the session; its golden file is named after it.
      variant: code variant under test.
      lines: recorded lines of the session.
      violations: promises found broken, as sentences.
      expected_violation: text that a violation caused by the weak variant
        must contain.
    """

    name: str = ""
    variant: WeakVariant = UNWEAKENED
    lines: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)
    expected_violation: str = ""


@pytest.fixture
def scenario_state():
    return ScenarioState()


@pytest.fixture
def golden(request):
    return GoldenFiles(request.config.getoption("--refresh-golden"))


@given(parsers.parse('the weak variant "{variant}"'))
def weak_variant(scenario_state, variant):
    scenario_state.variant = WEAK_VARIANTS[variant]


@when(parsers.re(r"(?P<what>a \w+.*) is sent while (?P<failure>.*)"))
def sent_while(scenario_state, what, failure):
    scenario_state.name = f"{what} {failure}"
    testbed = run_session(what, (failure,), scenario_state.variant)
    scenario_state.lines, scenario_state.violations = (
        testbed.lines,
        testbed.violations,
    )


@when("it is sent again at each entry node")
def sent_again(scenario_state):
    """Checks that the session ended with a repeat at each entry node.

    `run_keyed` sends these repeats itself.
    """
    assert scenario_state.name.startswith(KEYED_BOOKING)
    entries = [
        line.split("to ")[-1]
        for line in scenario_state.lines
        if "sends" in line
    ]
    assert entries[-2:] == ["entry-a", "entry-b"]


@when(
    parsers.re(r"every pair of failures hits (?P<what>a [^\"]*?)"),
)
def every_pair(scenario_state, what):
    scenario_state.violations = find_violations(what, scenario_state.variant)


@when(
    parsers.re(
        r"every pair of failures hits (?P<what>.*) until one \"(?P<seen>.*)\""
    )
)
def pairs_until(scenario_state, what, seen):
    scenario_state.expected_violation = seen
    scenario_state.violations = find_violations(
        what, scenario_state.variant, seen
    )


@then("no promise is broken")
def nothing_broken(scenario_state):
    assert not scenario_state.violations


@then("the weak variant is caught")
def caught(scenario_state):
    assert scenario_state.expected_violation
    assert any(
        scenario_state.expected_violation in text
        for text in scenario_state.violations
    )


@then("the session is the one on record")
def on_record(scenario_state, golden):
    golden.check(scenario_state.name, scenario_state.lines)
