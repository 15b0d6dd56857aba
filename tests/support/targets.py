"""A target side without sockets, for tests of it and of what is around it."""

import dataclasses

from radishwind.admission import Admission
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


@dataclasses.dataclass(frozen=True, slots=True)
class TargetParts:
    """A pipeline and what it decides by."""

    pipeline: TargetPipeline
    server: ServerBeside
    admission: Admission
    health: HealthModel
    quarantine: Quarantine


def make_target(
    name: str,
    service: str,
    clock: Clock,
    sender: Sender,
    server: Address,
    slots: int,
) -> TargetPipeline:
    """Returns the pipeline of a target that the inventory lists."""
    limits = AdmissionLimits(slots, slots, queue_length=10, queue_wait_s=1.0)
    return make_parts(name, service, clock, sender, server, limits).pipeline


def make_parts(
    name: str,
    service: str,
    clock: Clock,
    sender: Sender,
    address: Address,
    limits: AdmissionLimits,
) -> TargetParts:
    """Returns the parts of a target that the inventory lists."""
    server = ServerBeside(name, address)
    server.list(True)
    admission = FairAdmission(limits)
    health = HealthModel()
    quarantine = Quarantine(
        target=name, service=service, clock=clock, board=SilentBoard()
    )
    pipeline = TargetPipeline(
        clock=clock,
        admission=admission,
        sender=sender,
        server=server,
        watch=ServerWatch(clock, health, quarantine),
    )
    return TargetParts(pipeline, server, admission, health, quarantine)
