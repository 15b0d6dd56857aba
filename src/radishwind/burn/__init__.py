"""Burn rates: how fast each service consumes its error budgets."""

from radishwind.burn.ledger import BurnLedger
from radishwind.burn.ledger import ServiceMinutes
from radishwind.burn.report import burn_rows
from radishwind.burn.report import BurnRow
from radishwind.burn.report import merge

__all__ = ["BurnLedger", "BurnRow", "ServiceMinutes", "burn_rows", "merge"]
