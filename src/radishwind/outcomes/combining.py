"""Combines the outcomes of several attempts of a call."""

from radishwind.http.types import is_server_error
from radishwind.outcomes.model import Done
from radishwind.outcomes.model import NotRun
from radishwind.outcomes.model import Outcome


def combine_outcomes(earlier: Outcome | None, later: Outcome) -> Outcome:
    """Returns the outcome of a call by those of two of its attempts.

    A response takes precedence over none, and a successful response over an
    error. If one attempt may have run, a later refusal does not change that.

    Args:
      earlier: outcome of the earlier attempts; `None` if there were none.
      later: outcome of the latest attempt.
    """
    if earlier is None or isinstance(earlier, NotRun):
        return later
    if isinstance(later, NotRun):
        return earlier
    if isinstance(earlier, Done):
        return later if _is_better(earlier, later) else earlier
    return later


def _is_better(earlier: Done, later: Outcome) -> bool:
    if not isinstance(later, Done):
        return False
    return is_server_error(earlier.response.status)
