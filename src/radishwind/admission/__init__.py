"""Who gets a slot of the server beside the node, and when to say no."""

from radishwind.admission.admission import Admission
from radishwind.admission.admission import AdmissionLimits
from radishwind.admission.admission import Ticket
from radishwind.admission.fair_admission import FairAdmission
from radishwind.admission.fifo_admission import FifoAdmission

__all__ = [
    "Admission",
    "AdmissionLimits",
    "FairAdmission",
    "FifoAdmission",
    "Ticket",
]
