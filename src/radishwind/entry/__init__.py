"""The entry side: classifies a caller's request and runs its attempts."""

from radishwind.entry.call import Call
from radishwind.entry.call import CallRejectedError
from radishwind.entry.call import classify
from radishwind.entry.pipeline import AttemptRunner
from radishwind.entry.pipeline import EntryPipeline

__all__ = [
    "AttemptRunner",
    "Call",
    "CallRejectedError",
    "EntryPipeline",
    "classify",
]
