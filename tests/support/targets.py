"""A target side without sockets, for tests of what stands around it."""

from radishwind.admission import AdmissionLimits
from radishwind.admission import FairAdmission
from radishwind.core import Clock
from radishwind.http import Address
from radishwind.http import Sender
from radishwind.membership import SilentBoard
from radishwind.probing import HealthModel
from radishwind.quarantine import Quarantine
from radishwind.target import ServerBeside
from radishwind.target import ServerWatch
from radishwind.target import TargetPipeline


def make_target(
    name: str,
    service: str,
    clock: Clock,
    sender: Sender,
    server: Address,
    slots: int,
) -> TargetPipeline:
    """Returns the pipeline of a target that the inventory lists."""
    beside = ServerBeside(name, server)
    beside.list(True)
    quarantine = Quarantine(
        target=name, service=service, clock=clock, board=SilentBoard()
    )
    limits = AdmissionLimits(slots, slots, queue_length=10, queue_wait_s=1.0)
    return TargetPipeline(
        clock=clock,
        admission=FairAdmission(limits),
        sender=sender,
        server=beside,
        watch=ServerWatch(clock, HealthModel(), quarantine),
    )
