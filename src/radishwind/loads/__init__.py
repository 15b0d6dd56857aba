"""Advertises the load of the own target to the nodes that route by it.

`ReportScheduler` decides when a report is due, `ReportRecipients` which nodes
receive it, and `LoadChannel` sends and receives the datagrams.
"""

from radishwind.loads.load_channel import LoadChannel
from radishwind.loads.load_message import LoadMessage
from radishwind.loads.report_recipients import ReportRecipients
from radishwind.loads.report_scheduler import ReportScheduler

__all__ = ["LoadChannel", "LoadMessage", "ReportRecipients", "ReportScheduler"]
