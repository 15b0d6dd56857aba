"""Requests that crash servers: found, run alone, refused for a while."""

from radishwind.quarantine.crashes import CrashDetector
from radishwind.quarantine.crashes import Suspect
from radishwind.quarantine.fingerprint import fingerprint
from radishwind.quarantine.gate import Quarantine
from radishwind.quarantine.gate import QuarantineGate
from radishwind.quarantine.suspects import SuspectBook
from radishwind.quarantine.suspects import Verdict

__all__ = [
    "CrashDetector",
    "Quarantine",
    "QuarantineGate",
    "Suspect",
    "SuspectBook",
    "Verdict",
    "fingerprint",
]
