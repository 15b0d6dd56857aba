"""The client accounts of a soak run, their API keys and their guarantees."""

import asyncio
from collections.abc import Iterable
import dataclasses
import random
from typing import Any

from radishwind.standins.platform_server import PlatformServerStandin

#: The account without a quota, used to check that all services recovered.
UNLIMITED_ACCOUNT = "large"

#: The account whose callers send more requests than its quota allows.
_LIMITED_ACCOUNT = "small"
_RATE_PER_S = 6.0
_BURST_REQUESTS = 6.0

_REVOCATION_DELAY_S = 3.0
_QUOTA_WINDOW_S = 5.0
#: Tolerated excess over the quota of a window: a fraction of it, and requests.
_EXCESS_FRACTION = 0.1
_EXCESS_REQUESTS = 20.0
_MAX_REQUESTS_IN_WINDOW = (_RATE_PER_S * _QUOTA_WINDOW_S + _BURST_REQUESTS) * (
    1 + _EXCESS_FRACTION
) + _EXCESS_REQUESTS


@dataclasses.dataclass(slots=True)
class _SentRequest:
    sent_at: float
    account: str
    key: str


class AccountKeys:
    """The accounts' keys, when each was revoked, and the key of each request.

    Attributes:
      bounds: settings of the nodes, as NAME=VALUE, which the checks rely on.
    """

    bounds = (
        "strict-revoke=true",
        f"revoke-ms={_REVOCATION_DELAY_S * 1000:.0f}",
        f"quota-window-s={_QUOTA_WINDOW_S:.0f}",
        f"quota-over={_EXCESS_FRACTION}",
        f"quota-slack={_EXCESS_REQUESTS:.0f}",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._keys = {
            name: _generate_key(rng)
            for name in (UNLIMITED_ACCOUNT, _LIMITED_ACCOUNT)
        }
        # Callers go on using replaced keys, as they do not learn of the change.
        self._old_keys: list[tuple[str, str]] = []
        self._revoked_at: dict[str, float] = {}
        self._sent_requests: dict[str, _SentRequest] = {}

    def to_operator_config(self) -> list[dict[str, Any]]:
        """Returns the accounts as entries of the operator's configuration."""
        limits = {"rate-per-s": _RATE_PER_S, "burst": _BURST_REQUESTS}
        return [
            {
                "name": name,
                "api-keys": [key],
                "priority": 1,
                **(limits if name == _LIMITED_ACCOUNT else {}),
            }
            for name, key in self._keys.items()
        ]

    def replace_key(self, rng: random.Random) -> str:
        """Replaces the key of a random account; returns the account's name."""
        name = rng.choice(sorted(self._keys))
        self._old_keys.append((name, self._keys[name]))
        self._keys[name] = _generate_key(rng)
        return name

    def record_revocation(self, now: float) -> None:
        """Records the revocation of the keys replaced since the last call.

        Args:
          now: when the store acknowledged the change (monotonic s).
        """
        for _, key in self._old_keys:
            self._revoked_at.setdefault(key, now)

    def authorize(self, request_id: str, account: str) -> str:
        """Returns the `Authorization` field of a request and records its key.

        Args:
          request_id: ID of the request.
          account: account whose key the request carries; if empty, a random
            account, and sometimes a replaced key.
        """
        name = account or self._rng.choice(sorted(self._keys))
        key = self._keys[name]
        if not account and self._old_keys and self._rng.random() < 0.2:
            name, key = self._rng.choice(self._old_keys)
        sent_at = asyncio.get_running_loop().time()
        self._sent_requests[request_id] = _SentRequest(sent_at, name, key)
        return f"Token {key}"

    def find_violations(
        self, servers: Iterable[PlatformServerStandin]
    ) -> list[str]:
        """Returns the violations among the requests that ran at `servers`.

        A request must run for its own account. It must not run if it was sent
        more than `_REVOCATION_DELAY_S` after its key was revoked. The limited
        account may not exceed its quota, with the tolerated excess, in any
        window.
        """
        account_by_request = {
            request_id: account
            for server in servers
            for request_id, account in server.accounts.items()
        }
        violations = []
        limited_sent_at = []
        for request_id, account in account_by_request.items():
            sent = self._sent_requests[request_id]
            if account != sent.account:
                violations.append(
                    f"{request_id}: ran for {account!r}, not {sent.account}"
                )
            revoked_at = self._revoked_at.get(sent.key)
            late_s = 0.0 if revoked_at is None else sent.sent_at - revoked_at
            if late_s > _REVOCATION_DELAY_S:
                violations.append(
                    f"{request_id}: key ran {late_s:.2f} s after its end"
                )
            if sent.account == _LIMITED_ACCOUNT:
                limited_sent_at.append(sent.sent_at)
        max_count = _max_count_in_window(sorted(limited_sent_at))
        if max_count > _MAX_REQUESTS_IN_WINDOW:
            violations.append(
                f"{max_count} ran in a window, "
                f"allowed {_MAX_REQUESTS_IN_WINDOW:.0f}"
            )
        return violations


def _max_count_in_window(times: list[float]) -> int:
    max_count = first = 0
    for number, sent_at in enumerate(times):
        while sent_at - times[first] > _QUOTA_WINDOW_S:
            first += 1
        max_count = max(max_count, number - first + 1)
    return max_count


def _generate_key(rng: random.Random) -> str:
    return f"{rng.getrandbits(96):024x}"
