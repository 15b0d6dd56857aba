"""What counts in a choice by fresh load, and how much."""

import msgspec

from radishwind.core.codes import ResultCode

#: What the exchange with another node's process adds (s).
FORWARDING_S = 0.001

#: The way between failure domains and back (s); it also stands for the price
#: of the bytes that cross, which outweighs the time: at 0.03, 0.06 and 0.1 the
#: same day sent 8, 6 and 5 MB across, and lost nothing of its answers in time
#: but at the last (credit 0.974, 0.972, 0.956).
CROSS_DOMAIN_S = 0.05

#: A target whose node has not told anything for so long (s) may be cut off;
#: nodes tell at least once a second.
SILENT_S = 2.5

#: What a silent target counts for, in usual run times.
SILENT_FACTOR = 4.0

#: Part by which a full target is slower than an empty one.
FULL_FACTOR = 0.3

#: Work of a request before the first answer (s).
FIRST_WORK_S = 0.05

#: A target of whose load nothing is known counts as so many usual ones, since
#: it may have a queue.
UNKNOWN_FACTOR = 1.2

#: An attempt so many usual run times past what was expected of it began in a
#: slow spell.
LATE_FACTOR = 0.7

#: What an attempt that is past the usual work has left at least, as a part of
#: it: run times spread by about a third.
LEAST_REST = 0.25

#: A failure counts as so many usual run times, doubled with each in a row.
FAILURE_FACTOR = 2.0
MAX_DOUBLINGS = 5

#: Work counts for at least this in a failure (s), so that one failure outweighs
#: the way to another failure domain.
LEAST_FAILED_S = 0.03

#: How fast failures fade without news (s).
FAILURE_FADE_S = 2.0

#: How long a target that takes no work is passed over (s), by what it said.
AWAY_S = {
    ResultCode.LEAVING: 2.0,
    ResultCode.NO_TARGET: 0.5,
    ResultCode.CONNECT_FAILED: 0.5,
    ResultCode.SERVER_UNANNOUNCED: 0.5,
    ResultCode.SERVER_DOWN: 0.3,
    ResultCode.SERVER_COLD: 0.1,
    ResultCode.DOMAIN_EMPTIED: 2.0,
}

#: A cold server that said it takes no more gets none for this long (s): what
#: it was sent in the last second counts, so one is free again soon.
COLD_REST_S = 0.1

#: CandidateSampler weighed at most, of the own failure domain and of others; of
#: more, so many are drawn. Weighing one took 19 us in a profile of a node among
#: 84, so that a choice stays below 0.5 ms; what fewer choices lose was not
#: measured.
MOST_NEAR = 16
MOST_FAR = 8

#: Weight of one answer in the usual work and in a target's own slowness.
WORK_WEIGHT = 0.05
SLOWNESS_WEIGHT = 0.1

#: Work counts for at most so many times the usual one.
MOST_RATIO = 4.0

LEAST_SLOWNESS = 0.6

#: Kinds of work remembered; the longest known is forgotten.
MOST_WORKS = 2048

#: Costs are spread by so much at random, so that entry nodes that know the
#: same do not all choose the same.
COST_SPREAD = 0.05


class CostWeights(msgspec.Struct, frozen=True):
    """What counts in a choice.

    Attributes:
      cross_domain_s: the way to another failure domain and back (s).
      failure_factor: usual run times that a failure counts for.
      slowness: weight of one answer in a target's own slowness.
    """

    cross_domain_s: float = CROSS_DOMAIN_S
    failure_factor: float = FAILURE_FACTOR
    slowness: float = SLOWNESS_WEIGHT
