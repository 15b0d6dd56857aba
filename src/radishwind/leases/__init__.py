"""Leases of the store: held by one, renewed in time, fenced by an epoch."""

from radishwind.leases.holder import LeaseHolder
from radishwind.leases.holder import LeaseLostError
from radishwind.leases.shared import SharedLease
from radishwind.leases.term import Term

__all__ = ["LeaseHolder", "LeaseLostError", "SharedLease", "Term"]
