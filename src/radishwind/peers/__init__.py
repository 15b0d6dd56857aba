"""What nodes say to each other: forwarded attempts and control messages."""

from radishwind.peers.forward import ForwardRunner
from radishwind.peers.forward import PeerListener

__all__ = ["ForwardRunner", "PeerListener"]
