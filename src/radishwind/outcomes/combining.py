"""What holds of a call after several attempts of it."""

from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome


def combine_outcomes(before: Outcome | None, outcome: Outcome) -> Outcome:
    """Returns what holds of both attempts.

    An answer goes before none, and an answer of success before one of
    failure; what may have run stays unknown whatever was refused later.
    """
    if before is None or isinstance(before, NotRun):
        return outcome
    if isinstance(outcome, NotRun):
        return before
    if isinstance(before, Done):
        return outcome if _is_better(before, outcome) else before
    return outcome


def _is_better(before: Done, outcome: Outcome) -> bool:
    if not isinstance(outcome, Done):
        return False
    return is_server_error(before.response.status)
