"""Quotas of client accounts, which hold over all nodes together.

One live node an account keeps its count (`Lender`); the others (`Borrower`)
decide at once by what they hold, tell it what they let in, and are lent more
ahead of need. Both are decisions without a socket; `QuotaChannel` carries
their messages.
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
