"""HTTP through two small interfaces, `Server` and `Sender`.

They hide the libraries: httptools by default, aiohttp, and hypercorn with
httpx; `docs/design/01-http-libraries.md` compares them.
"""

from radishwind.http.errors import ConnectFailedError
from radishwind.http.errors import ExchangeBrokenError
from radishwind.http.errors import SendError
from radishwind.http.factory import HttpLibrary
from radishwind.http.factory import make_sender
from radishwind.http.factory import make_server
from radishwind.http.sender import Sender
from radishwind.http.server import Handler
from radishwind.http.server import Server
from radishwind.http.server_limits import ServerLimits
from radishwind.http.types import Address
from radishwind.http.types import Body
from radishwind.http.types import BodyStream
from radishwind.http.types import Headers
from radishwind.http.types import Request
from radishwind.http.types import Response

__all__ = [
    "Address",
    "Body",
    "BodyStream",
    "ConnectFailedError",
    "ExchangeBrokenError",
    "Handler",
    "Headers",
    "HttpLibrary",
    "Request",
    "Response",
    "SendError",
    "Sender",
    "Server",
    "ServerLimits",
    "make_sender",
    "make_server",
]
