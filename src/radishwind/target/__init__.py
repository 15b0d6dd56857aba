"""The target side: decides what is sent to the node's backend server."""

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
