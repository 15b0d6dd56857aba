"""Constants and weights of the cost by which targets are chosen."""

import msgspec

from radishwind.core.codes import ResultCode

#: Overhead of forwarding a request to the process of another node (s).
FORWARDING_S = 0.001

#: Round trip counted for a path to another failure domain (s). It also stands
#: for the price of cross-domain traffic, which outweighs the latency: with
#: 0.03, 0.06 and 0.1, the same load sent 8, 6 and 5 MB between domains. Only
#: the last one lost responses in time (credit 0.974, 0.972 and 0.956).
CROSS_DOMAIN_S = 0.05

#: A target whose node has sent no report for this time may be unreachable (s).
#: Nodes send reports at least once a second.
REPORT_TIMEOUT_S = 2.5

#: Cost of such a target, in mean run times.
MISSING_REPORT_FACTOR = 4.0

#: Part by which a full target is slower than an idle one.
FULL_LOAD_SLOWDOWN = 0.3

#: Run time of a route assumed before its first response (s).
DEFAULT_RUN_S = 0.05

#: Factor on the cost of a target whose load isn't known, since it may have a
#: queue.
UNKNOWN_LOAD_FACTOR = 1.2

#: An attempt that exceeds its expected response time by this multiple of the
#: normal run time is assumed to have started in a slow interval.
LATE_ATTEMPT_FACTOR = 0.7

#: Lower bound of the expected remaining time of an attempt that has exceeded
#: the normal run time, as a fraction of that. Run times vary by about a third.
MIN_REMAINING_FRACTION = 0.25

#: Cost of a failure in normal run times, doubled with each consecutive one.
FAILURE_FACTOR = 2.0
MAX_DOUBLINGS = 5

#: Lower bound of the run time in the cost of a failure (s), so that one failure
#: outweighs the path to another failure domain.
MIN_FAILURE_RUN_S = 0.03

#: Time constant by which the cost of failures decays (s).
FAILURE_DECAY_S = 2.0

#: Time for which a target that refuses requests is excluded (s), by result
#: code.
EXCLUSION_S = {
    ResultCode.LEAVING: 2.0,
    ResultCode.NO_TARGET: 0.5,
    ResultCode.CONNECT_FAILED: 0.5,
    ResultCode.SERVER_UNANNOUNCED: 0.5,
    ResultCode.SERVER_DOWN: 0.3,
    ResultCode.SERVER_COLD: 0.1,
    ResultCode.SERVER_LIMITED: 0.1,
    ResultCode.DOMAIN_EMPTIED: 2.0,
}

#: Time for which a target with an exhausted limit is excluded if its report
#: doesn't tell when it accepts a request (s). The limit of a server in slow
#: start counts the requests of the last second, so that it accepts one soon.
LIMIT_PAUSE_S = 0.1

#: Multiple of its equal share of a stated limit that a node may use, since not
#: all nodes have callers at the same time.
LIMIT_SHARE_FACTOR = 2.0

#: Lowest limit assumed for that (requests/s): a server with a lower one gets
#: some requests too.
MIN_LIMIT_PER_S = 0.2

#: The time between two attempts at a limited server is varied by this fraction,
#: so that nodes don't try at the same moment.
LIMIT_JITTER = 0.5

#: Lower bound of the Retry-After if the limits of all servers are reached (s).
MIN_RETRY_AFTER_S = 0.05

#: Candidates evaluated at most, in the own failure domain and in others. Of
#: more candidates, this many are sampled. Evaluating one took 19 us in a
#: profile of a node in a fleet of 84, so that a choice takes less than 0.5 ms.
MAX_LOCAL_CANDIDATES = 16
MAX_REMOTE_CANDIDATES = 8

#: Weight of one response in the normal run time of a route and in the slowness
#: of a target.
RUN_TIME_WEIGHT = 0.05
SLOWNESS_WEIGHT = 0.1

#: Run times are clipped to this multiple of the normal one before they are
#: averaged.
MAX_RUN_TIME_RATIO = 4.0

MIN_SLOWNESS = 0.6

#: Routes remembered at most; the first one added is dropped.
MAX_ROUTES = 2048

#: Random increase of costs, as a fraction, so that entry nodes with the same
#: information don't all choose the same target.
COST_JITTER = 0.05


class CostWeights(msgspec.Struct, frozen=True):
    """Weights of the cost of a target.

    Attributes:
      cross_domain_s: round trip counted for a path to another failure domain
        (s).
      failure_factor: cost of a failure in normal run times.
      slowness_weight: weight of one response in the slowness of a target.
    """

    cross_domain_s: float = CROSS_DOMAIN_S
    failure_factor: float = FAILURE_FACTOR
    slowness_weight: float = SLOWNESS_WEIGHT
