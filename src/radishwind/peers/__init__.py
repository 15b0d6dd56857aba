"""Communication between nodes: forwarded attempts, control messages, datagrams.

Requests and datagrams are signed and verified here.
"""

from radishwind.peers.forward_runner import ForwardRunner
from radishwind.peers.peer_client import HttpPeerClient
from radishwind.peers.peer_client import PeerClient
from radishwind.peers.peer_client import PeerError
from radishwind.peers.peer_client import PeerUnreachableError
from radishwind.peers.peer_listener import PeerListener
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
