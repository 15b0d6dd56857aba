"""Runs the duties of a node in the background, and contains their errors.

A duty that raises an error is logged and started again after a pause; neither
the other duties nor the requests on the node notice. An error in a listener, or
in one of many short tasks, stays with it.
"""

from radishwind.supervision.cancellation import is_cancelled
from radishwind.supervision.cancellation import StrayCancellationError
from radishwind.supervision.containment import notify
from radishwind.supervision.containment import run_contained
from radishwind.supervision.duty import Duty
from radishwind.supervision.duty import DutyStatus
from radishwind.supervision.duty import run_together
from radishwind.supervision.failure_log import failure_log
from radishwind.supervision.failure_log import FailureLog
from radishwind.supervision.failure_log import set_failure_log
from radishwind.supervision.listeners import Listeners
from radishwind.supervision.loop_errors import handle_loop_errors
from radishwind.supervision.stop_steps import StopSteps
from radishwind.supervision.supervisor import Supervisor
from radishwind.supervision.task_pool import TaskPool

__all__ = [
    "Duty",
    "DutyStatus",
    "FailureLog",
    "Listeners",
    "StopSteps",
    "StrayCancellationError",
    "Supervisor",
    "TaskPool",
    "failure_log",
    "handle_loop_errors",
    "is_cancelled",
    "notify",
    "run_contained",
    "run_together",
    "set_failure_log",
]
