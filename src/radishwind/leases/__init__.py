"""Leases on keys of the store, renewed in time and fenced by an epoch."""

from radishwind.leases.lease_holder import LeaseHolder
from radishwind.leases.lease_holder import LeaseLostError
from radishwind.leases.lease_term import LeaseTerm
from radishwind.leases.shared_lease import SharedLease

__all__ = ["LeaseHolder", "LeaseLostError", "LeaseTerm", "SharedLease"]
