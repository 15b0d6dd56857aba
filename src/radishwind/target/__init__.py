"""The target side: the one authority on the server beside the node."""

from radishwind.target.announcement_handler import AnnouncementHandler
from radishwind.target.backend_server import BackendServer
from radishwind.target.exchange_recorder import ExchangeRecorder
from radishwind.target.pipeline import TargetPipeline

__all__ = [
    "AnnouncementHandler",
    "BackendServer",
    "ExchangeRecorder",
    "TargetPipeline",
]
