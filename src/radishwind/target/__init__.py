"""The target side: the one authority on the server beside the node."""

from radishwind.target.announce import AnnouncementHandler
from radishwind.target.pipeline import TargetPipeline
from radishwind.target.server import ServerBeside
from radishwind.target.watch import ServerWatch

__all__ = [
    "AnnouncementHandler",
    "ServerBeside",
    "ServerWatch",
    "TargetPipeline",
]
