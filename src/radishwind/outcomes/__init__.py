"""NotRun, Done and Unknown: what became of an attempt, and how it is told."""

from radishwind.outcomes.answers import answer
from radishwind.outcomes.answers import problem
from radishwind.outcomes.graver import graver
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown

__all__ = [
    "Done",
    "NotRun",
    "Outcome",
    "Unknown",
    "answer",
    "graver",
    "problem",
]
