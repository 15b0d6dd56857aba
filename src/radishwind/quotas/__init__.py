"""Quotas of client accounts, enforced over all nodes together.

For each account one live node, its lender (`Lender`), keeps a token bucket. The
other nodes (`Borrower`) admit requests by the tokens that they hold, without
waiting. They report what they admitted, and lease further tokens before they
run out. `Lender` and `Borrower` do no network I/O; `QuotaChannel` carries their
messages.
"""

from radishwind.quotas.borrower import Borrower
from radishwind.quotas.gate import NoQuotas
from radishwind.quotas.gate import QuotaGate
from radishwind.quotas.lender import Lender
from radishwind.quotas.lender_map import LenderMap
from radishwind.quotas.limits import QuotaBounds
from radishwind.quotas.limits import QuotaLimit

__all__ = [
    "Borrower",
    "Lender",
    "LenderMap",
    "NoQuotas",
    "QuotaBounds",
    "QuotaGate",
    "QuotaLimit",
]
