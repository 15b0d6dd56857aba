"""Admission control: which requests get a slot of the local server."""

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
