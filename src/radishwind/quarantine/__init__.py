"""Requests that crash servers: found, run alone, refused for a while."""

from radishwind.quarantine.crash_detector import CrashDetector
from radishwind.quarantine.crash_detector import CrashSuspect
from radishwind.quarantine.fingerprint import fingerprint
from radishwind.quarantine.quarantine import Quarantine
from radishwind.quarantine.quarantine import QuarantineCheck
from radishwind.quarantine.suspect_registry import SuspectRegistry
from radishwind.quarantine.suspect_registry import Verdict

__all__ = [
    "CrashDetector",
    "CrashSuspect",
    "Quarantine",
    "QuarantineCheck",
    "SuspectRegistry",
    "Verdict",
    "fingerprint",
]
