"""Finds the client account of a request by the key that it carries."""

from collections.abc import Callable

from radishwind.accounts import Account
from radishwind.accounts import AccountIndex
from radishwind.accounts import AlwaysFresh
from radishwind.accounts import KeyFreshness
from radishwind.core.codes import ResultCode
from radishwind.entry.call import CallRejectedError


class KeyRefusedError(CallRejectedError):
    """The request carries no key of an account in force."""

    code = ResultCode.KEY_REFUSED


class KeysUnprovenError(CallRejectedError):
    """This node can't prove that what it knows of keys is recent."""

    code = ResultCode.KEYS_UNPROVEN

    def __init__(self, retry_after_s: float | None) -> None:
        super().__init__("expected proof of recent keys, got none")
        self.retry_after_s = retry_after_s


class KeyAuthenticator:
    """Decides whose request it is; refuses at once what is nobody's.

    Attributes:
      refused: requests refused for their key.
      unproven: requests refused since no key could be taken for one in force.
    """

    def __init__(
        self,
        book: Callable[[], AccountIndex],
        proof: KeyFreshness | None = None,
    ) -> None:
        """Makes a check.

        Args:
          book: returns the accounts in force.
          proof: whether what is known of keys is recent.
        """
        self._book = book
        self._proof = proof or AlwaysFresh()
        self.refused = 0
        self.unproven = 0

    @property
    def in_use(self) -> bool:
        """Whether there are accounts, so that requests need a key."""
        return self._book().has_accounts

    def authenticate(
        self, keys: tuple[str, ...], *, public: bool, now: float
    ) -> Account | None:
        """Returns the account of a request; `None` for nobody's.

        A public request of nobody may run, and so may one whose key is not in
        force: it is nobody's then.

        Args:
          keys: what the request carries in place of one key, empty where that
            is malformed.
          public: whether its route needs no key.
          now: monotonic time (s).

        Raises:
          KeyRefusedError: there must be a key in force, and isn't one.
          KeysUnprovenError: nobody can tell whether the key is in force still.
        """
        if not keys:
            # No version lets it run with what it doesn't carry.
            if public:
                return None
            raise self._refused(keys)
        if not self._proof.is_fresh(now):
            if public:
                return None
            self.unproven += 1
            raise KeysUnprovenError(self._proof.retry_s(now))
        holder = self._book().find_by_key(keys[0]) if len(keys) == 1 else None
        if holder is None and not public:
            raise self._refused(keys)
        return holder

    def _refused(self, keys: tuple[str, ...]) -> KeyRefusedError:
        self.refused += 1
        return KeyRefusedError(
            f"expected one key of an account in force, got {len(keys)} "
            f"fields and none"
        )
