"""Quotas of client accounts, which hold over all nodes together."""

from radishwind.quotas.gate import NoQuotas
from radishwind.quotas.gate import QuotaGate

__all__ = ["NoQuotas", "QuotaGate"]
