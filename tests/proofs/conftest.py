"""Steps that several features share."""

import dataclasses

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

from tests.proofs.golden import Golden
from tests.proofs.plays import broken_by
from tests.proofs.plays import KEYED
from tests.proofs.plays import play
from tests.proofs.plays import STRONG
from tests.proofs.plays import WEAK
from tests.proofs.plays import Weak


@dataclasses.dataclass
class Story:
    """What one scenario has seen so far.

    Attributes:
      name: of its session, for the golden file.
      weak: the variant under test.
      lines: the record of its session.
      broken: promises seen broken.
      wanted: what a weak variant must break.
    """

    name: str = ""
    weak: Weak = STRONG
    lines: list[str] = dataclasses.field(default_factory=list)
    broken: list[str] = dataclasses.field(default_factory=list)
    wanted: str = ""


@pytest.fixture
def story():
    return Story()


@pytest.fixture
def golden(request):
    return Golden(request.config.getoption("--refresh-golden"))


@given(parsers.parse('the weak variant "{variant}"'))
def weak_variant(story, variant):
    story.weak = WEAK[variant]


@when(parsers.re(r"(?P<what>a \w+.*) is sent while (?P<failure>.*)"))
def sent_while(story, what, failure):
    story.name = f"{what} {failure}"
    stage = play(what, (failure,), story.weak)
    story.lines, story.broken = stage.lines, stage.broken


@when("it is sent again at each entry node")
def sent_again(story):
    """The play of a booking with a key does so at its end."""
    assert story.name.startswith(KEYED)
    ends = [line.split("to ")[-1] for line in story.lines if "sends" in line]
    assert ends[-2:] == ["entry-a", "entry-b"]


@when(
    parsers.re(r"every pair of failures hits (?P<what>a [^\"]*?)"),
)
def every_pair(story, what):
    story.broken = broken_by(what, story.weak)


@when(
    parsers.re(
        r"every pair of failures hits (?P<what>.*) until one \"(?P<seen>.*)\""
    )
)
def pairs_until(story, what, seen):
    story.wanted = seen
    story.broken = broken_by(what, story.weak, seen)


@then("no promise is broken")
def nothing_broken(story):
    assert not story.broken


@then("the weak variant is caught")
def caught(story):
    assert story.wanted
    assert any(story.wanted in text for text in story.broken)


@then("the session is the one on record")
def on_record(story, golden):
    golden.check(story.name, story.lines)
