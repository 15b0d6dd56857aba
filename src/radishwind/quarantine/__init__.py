"""Quarantine: requests that crash servers run alone or are refused for a while.

Such requests are detected by broken exchanges before a crash.
"""

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
