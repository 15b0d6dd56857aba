"""Telling the load of the own target to the nodes that choose by it.

`LoadTeller` decides what is worth telling, `Audience` to whom, `LoadSocket`
sends and receives the datagrams.
"""

from radishwind.loads.audience import Audience
from radishwind.loads.message import LoadMessage
from radishwind.loads.sockets import LoadSocket
from radishwind.loads.teller import LoadTeller

__all__ = ["Audience", "LoadMessage", "LoadSocket", "LoadTeller"]
