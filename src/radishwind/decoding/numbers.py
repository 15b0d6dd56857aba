"""Types of numbers that are refused beyond bounds.

JSON and the operator's files have numbers of any size. Beyond the bounds they
can't be encoded again, or overflow when they are added or converted.
"""

from typing import Annotated
from typing import TypeAlias

import msgspec

#: Largest integer that MessagePack and JSON encoders of all nodes can write.
MAX_INT = 2**63 - 1

#: Largest magnitude of a number with a fraction. A time of this many seconds is
#: still an `Int` in milliseconds.
MAX_FLOAT = 1e15

Int: TypeAlias = Annotated[int, msgspec.Meta(ge=-MAX_INT, le=MAX_INT)]
NonNegativeInt: TypeAlias = Annotated[int, msgspec.Meta(ge=0, le=MAX_INT)]
PositiveInt: TypeAlias = Annotated[int, msgspec.Meta(ge=1, le=MAX_INT)]

#: Neither NaN nor an infinity is within these bounds.
Float: TypeAlias = Annotated[float, msgspec.Meta(ge=-MAX_FLOAT, le=MAX_FLOAT)]
NonNegativeFloat: TypeAlias = Annotated[float, msgspec.Meta(ge=0, le=MAX_FLOAT)]
