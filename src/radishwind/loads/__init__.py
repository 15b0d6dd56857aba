"""Telling the load of the own target to the nodes that choose by it.

`LoadTeller` decides what is worth telling, `Audience` to whom, `LoadChannel`
sends and receives the datagrams.
"""

from radishwind.loads.audience import Audience
from radishwind.loads.message import LoadMessage
from radishwind.loads.sockets import LoadChannel
from radishwind.loads.teller import LoadTeller

__all__ = ["Audience", "LoadChannel", "LoadMessage", "LoadTeller"]
