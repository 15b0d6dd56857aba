"""The entry side of a node: classifies requests and runs their attempts."""

from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.call import classify
from radishwind.entry.pipeline import EntryPipeline
from radishwind.entry.runner import AttemptResult
from radishwind.entry.runner import AttemptRunner

__all__ = [
    "AttemptResult",
    "AttemptRunner",
    "Call",
    "CallRejectedError",
    "EntryPipeline",
    "classify",
]
