"""Who gets a slot of the server beside the node, and when to say no."""

from radishwind.admission.fair import FairAdmission
from radishwind.admission.fifo import FifoAdmission
from radishwind.admission.gate import Admission
from radishwind.admission.gate import AdmissionLimits
from radishwind.admission.gate import Ticket

__all__ = [
    "Admission",
    "AdmissionLimits",
    "FairAdmission",
    "FifoAdmission",
    "Ticket",
]
