"""The client accounts of a soak: their keys, and what must hold of them."""

import asyncio
from collections.abc import Iterable
import dataclasses
import random
from typing import Any

from radishwind.standins.platform_server import PlatformServerStandin

#: The account that is never over a quota; it shows that all is served again.
UNLIMITED = "large"

#: Its callers ask for more than it may.
_LIMITED = "small"
_RATE_PER_S = 6.0
_BURST = 6.0

_REVOKE_S = 3.0
_WINDOW_S = 5.0
_OVER = 0.1
_SLACK = 20.0
_MOST = (_RATE_PER_S * _WINDOW_S + _BURST) * (1 + _OVER) + _SLACK


@dataclasses.dataclass(slots=True)
class _Sent:
    at: float
    account: str
    key: str


class Accounts:
    """Whose key each request carried, and since when a key is no more."""

    bounds = (
        "strict-revoke=true",
        f"revoke-ms={_REVOKE_S * 1000:.0f}",
        f"quota-window-s={_WINDOW_S:.0f}",
        f"quota-over={_OVER}",
        f"quota-slack={_SLACK:.0f}",
    )

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._keys = {name: _key(rng) for name in (UNLIMITED, _LIMITED)}
        # Callers use an old key for a while, as nobody told them.
        self._old: list[tuple[str, str]] = []
        self._ended: dict[str, float] = {}
        self._sent: dict[str, _Sent] = {}

    def as_written(self) -> list[dict[str, Any]]:
        """Returns the accounts as the operator writes them."""
        limits = {"rate-per-s": _RATE_PER_S, "burst": _BURST}
        return [
            {
                "name": name,
                "api-keys": [key],
                "priority": 1,
                **(limits if name == _LIMITED else {}),
            }
            for name, key in self._keys.items()
        ]

    def give_another_key(self, rng: random.Random) -> str:
        """Gives an account another key in place of its own; returns whose."""
        name = rng.choice(sorted(self._keys))
        self._old.append((name, self._keys[name]))
        self._keys[name] = _key(rng)
        return name

    def took_old_keys(self, now: float) -> None:
        """Takes that the store acknowledged it (monotonic s)."""
        for _, key in self._old:
            self._ended.setdefault(key, now)

    def authorize(self, request: str, account: str) -> str:
        """Returns what a request carries, for `account` or any of them."""
        name = account or self._rng.choice(sorted(self._keys))
        key = self._keys[name]
        if not account and self._old and self._rng.random() < 0.2:
            name, key = self._rng.choice(self._old)
        at = asyncio.get_running_loop().time()
        self._sent[request] = _Sent(at, name, key)
        return f"Token {key}"

    def broken(self, servers: Iterable[PlatformServerStandin]) -> list[str]:
        """Returns what ran and was not to, by what `servers` saw."""
        ran = {n: told for s in servers for n, told in s.accounts.items()}
        found = []
        limited = []
        for name, told in ran.items():
            sent = self._sent[name]
            if told != sent.account:
                found.append(f"{name}: ran for {told!r}, not {sent.account}")
            ended = self._ended.get(sent.key)
            late_s = 0.0 if ended is None else sent.at - ended
            if late_s > _REVOKE_S:
                found.append(f"{name}: key ran {late_s:.2f} s after its end")
            if sent.account == _LIMITED:
                limited.append(sent.at)
        most = _most_in_window(sorted(limited))
        if most > _MOST:
            found.append(f"{most} ran in a window, allowed {_MOST:.0f}")
        return found


def _most_in_window(times: list[float]) -> int:
    most = first = 0
    for number, at in enumerate(times):
        while at - times[first] > _WINDOW_S:
            first += 1
        most = max(most, number - first + 1)
    return most


def _key(rng: random.Random) -> str:
    return f"{rng.getrandbits(96):024x}"
