"""Who gets a slot of the server beside the node, and when to say no."""

from radishwind.admission.gate import Admission
from radishwind.admission.gate import FifoAdmission
from radishwind.admission.gate import Ticket

__all__ = ["Admission", "FifoAdmission", "Ticket"]
