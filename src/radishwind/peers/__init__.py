"""What nodes say to each other: forwarded attempts and control messages."""

from radishwind.peers.client import HttpPeerClient
from radishwind.peers.client import PeerClient
from radishwind.peers.client import PeerError
from radishwind.peers.forward import ForwardRunner
from radishwind.peers.forward import PeerListener

__all__ = [
    "ForwardRunner",
    "HttpPeerClient",
    "PeerClient",
    "PeerError",
    "PeerListener",
]
