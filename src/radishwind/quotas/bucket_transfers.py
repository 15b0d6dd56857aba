"""Asks the previous lenders of accounts for their buckets."""

from collections.abc import Callable
import dataclasses

from radishwind.quotas.messages import BucketRequest
from radishwind.quotas.messages import BucketTransfer

#: A new lender waits this long for the bucket of the previous one, which may
#: not know of the change yet. Then it lends what was refilled since the change.
TRANSFER_TIMEOUT_S = 0.5

#: The request for a bucket is repeated after this time (s).
_REPEAT_S = 0.05


@dataclasses.dataclass(slots=True)
class _Pending:
    """A bucket that the previous lender is asked for.

    Attributes:
      lender: the previous lender.
      deadline: until when its answer is awaited (monotonic, s).
      repeat_at: when it is asked next (monotonic, s).
      answer: its answer; `None` until it came.
    """

    lender: str
    deadline: float
    repeat_at: float
    answer: BucketTransfer | None = None


class BucketTransfers:
    """The buckets that this node asks other nodes for."""

    def __init__(
        self,
        own_name: str,
        start_id: int,
        send: Callable[[str, BucketRequest], None],
    ) -> None:
        """Creates the transfers of a node that has asked for nothing yet.

        Args:
          own_name: name of this node.
          start_id: identifies the start of this process.
          send: sends a request to the node of that name.
        """
        self._own_name = own_name
        self._start_id = start_id
        self._send = send
        self._pending: dict[str, _Pending] = {}

    def await_from(self, account: str, lender: str, now: float) -> bool:
        """Asks for a bucket; returns whether its answer is still awaited.

        Args:
          account: name of the account.
          lender: the previous lender.
          now: monotonic time (s).
        """
        pending = self._pending.get(account)
        if pending is None or pending.lender != lender:
            pending = self._pending[account] = _Pending(
                lender, now + TRANSFER_TIMEOUT_S, now
            )
        if pending.answer is not None or now >= pending.deadline:
            return False
        if now >= pending.repeat_at:
            pending.repeat_at = now + _REPEAT_S
            request = BucketRequest(self._own_name, self._start_id, account)
            self._send(lender, request)
        return True

    def receive(self, transfer: BucketTransfer, now: float) -> None:
        """Takes an answer, if it is awaited (`now` in monotonic s)."""
        pending = self._pending.get(transfer.account)
        if pending is None or transfer.start_id != self._start_id:
            return
        if pending.lender == transfer.node and now < pending.deadline:
            pending.answer = pending.answer or transfer

    def take(self, account: str) -> BucketTransfer | None:
        """Returns the answer for `account`, once; `None` if there is none."""
        pending = self._pending.pop(account, None)
        return None if pending is None else pending.answer

    def remove_outdated(self, now: float) -> None:
        """Forgets what nobody has asked for again (`now` in monotonic s)."""
        self._pending = {
            account: pending
            for account, pending in self._pending.items()
            if now < pending.deadline + TRANSFER_TIMEOUT_S
        }

    def clear(self) -> None:
        """Forgets all requests."""
        self._pending.clear()
