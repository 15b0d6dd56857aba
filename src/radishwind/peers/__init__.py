"""What nodes say to each other: forwarded attempts and control messages."""

from radishwind.peers.client import HttpPeerClient
from radishwind.peers.client import PeerClient
from radishwind.peers.client import PeerError
from radishwind.peers.client import PeerUnreachableError
from radishwind.peers.forward import ForwardRunner
from radishwind.peers.listener import PeerListener
from radishwind.peers.security import PeerSigner
from radishwind.peers.security import PeerVerifier

__all__ = [
    "ForwardRunner",
    "HttpPeerClient",
    "PeerClient",
    "PeerError",
    "PeerListener",
    "PeerSigner",
    "PeerUnreachableError",
    "PeerVerifier",
]
