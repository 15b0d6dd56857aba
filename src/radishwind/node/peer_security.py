"""Creates signer and verifier of the traffic between nodes, from settings."""

import ipaddress
import os
import pathlib

from radishwind.core.clock import Clock
from radishwind.http.types import Address
from radishwind.peers import PeerSigner
from radishwind.peers import PeerVerifier
from radishwind.settings import NodeSettings
from radishwind.settings import SettingError
from radishwind.settings.parsers import peer_keys
from radishwind.telemetry.part_logger import PartLogger

_NONCE_PREFIX_BYTES = 8


def advertised_address(settings: NodeSettings) -> Address:
    """Returns the address at which other nodes reach this one."""
    return settings.peer_address or settings.peer_listen


def make_peer_security(
    settings: NodeSettings, clock: Clock
) -> tuple[PeerSigner | None, PeerVerifier | None]:
    """Returns the signer and the verifier; `None` for both without a key.

    Raises:
      SettingError: the key file can't be read, or no key is set although other
        machines can reach the peer listener.
    """
    keys = settings.peer_key + _read_keys(settings.peer_key_file)
    if keys:
        nonce_prefix = os.urandom(_NONCE_PREFIX_BYTES).hex()
        own_address = advertised_address(settings)
        return (
            PeerSigner(keys[0], clock, nonce_prefix),
            PeerVerifier(keys, clock, own_address),
        )
    if not _is_loopback(settings.peer_listen.host):
        raise SettingError(
            "expected --peer-key or --peer-key-file where --peer-listen is "
            f"not on loopback, got neither and {settings.peer_listen}"
        )
    PartLogger("peers", clock).warning(
        "No --peer-key is set: any process on this machine can pose as a node."
    )
    return None, None


def _read_keys(path: str) -> tuple[bytes, ...]:
    if not path:
        return ()
    try:
        return peer_keys(pathlib.Path(path).read_text())
    except (OSError, ValueError) as exc:
        raise SettingError(f"--peer-key-file: {exc}") from exc


def _is_loopback(host: str) -> bool:
    try:
        return ipaddress.ip_address(host.strip("[]")).is_loopback
    except ValueError:
        return host == "localhost"
