"""Finds the client account of a request by its API key."""

from collections.abc import Callable

from radishwind.accounts import Account
from radishwind.accounts import AccountIndex
from radishwind.core.codes import ResultCode
from radishwind.core.freshness import AlwaysFresh
from radishwind.core.freshness import Freshness
from radishwind.entry.call import CallRejectedError


class KeyRefusedError(CallRejectedError):
    """The request has no valid key of an account."""

    code = ResultCode.KEY_REFUSED


class KeysUnprovenError(CallRejectedError):
    """This node cannot prove that its key data is recent enough."""

    code = ResultCode.KEYS_UNPROVEN

    def __init__(self, retry_after_s: float | None) -> None:
        super().__init__(
            "expected a proof that the keys are up to date, got none"
        )
        self.retry_after_s = retry_after_s


class KeyAuthenticator:
    """Authenticates requests and rejects those without a valid key.

    Attributes:
      refused_count: number of requests rejected for a missing or invalid key.
      unproven_count: number of requests rejected since this node could not
        prove that its key data is recent enough.
    """

    def __init__(
        self,
        accounts: Callable[[], AccountIndex],
        freshness: Freshness | None = None,
    ) -> None:
        """Creates an authenticator.

        Args:
          accounts: returns the current accounts.
          freshness: whether the key data of this node is recent enough; by
            default it always is.
        """
        self._accounts = accounts
        self._freshness = freshness or AlwaysFresh()
        self.refused_count = 0
        self.unproven_count = 0

    @property
    def has_accounts(self) -> bool:
        """Whether there are accounts, so that requests need a key."""
        return self._accounts().has_accounts

    def authenticate(
        self, keys: tuple[str, ...], *, public: bool, now: float
    ) -> Account | None:
        """Returns the account of a request; `None` if it is anonymous.

        A request of a public route may be anonymous; it is so too if its key is
        invalid.

        Args:
          keys: the keys of the request; an empty text for a malformed one.
          public: whether its route needs no key.
          now: monotonic time (s).

        Raises:
          KeyRefusedError: the route needs a key, and the request has no valid
            one.
          KeysUnprovenError: the route needs a key, and it is not known whether
            the key is still valid.
        """
        if not keys:
            # Without a key no version of the accounts would accept it, so
            # that no proof is needed.
            if public:
                return None
            raise self._invalid_key(keys)
        if not self._freshness.is_fresh(now):
            if public:
                return None
            self.unproven_count += 1
            raise KeysUnprovenError(self._freshness.retry_s(now))
        holder = (
            self._accounts().find_by_key(keys[0]) if len(keys) == 1 else None
        )
        if holder is None and not public:
            raise self._invalid_key(keys)
        return holder

    def _invalid_key(self, keys: tuple[str, ...]) -> KeyRefusedError:
        self.refused_count += 1
        return KeyRefusedError(
            f"expected exactly one API key, and a valid one, got {len(keys)} "
            "keys"
        )
