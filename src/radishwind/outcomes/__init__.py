"""Outcomes of attempts (NotRun, Done, Unknown) and the responses for them."""

from radishwind.outcomes.combining import combine_outcomes
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome
from radishwind.outcomes.model import Unknown
from radishwind.outcomes.responses import outcome_response
from radishwind.outcomes.responses import problem_response

__all__ = [
    "Done",
    "NotRun",
    "Outcome",
    "Unknown",
    "combine_outcomes",
    "outcome_response",
    "problem_response",
]
