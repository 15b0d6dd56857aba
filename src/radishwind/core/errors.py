"""The root of the exception tree; each slice derives its own branch."""

from typing import ClassVar

from radishwind.core.codes import ResultCode


class RadishwindError(Exception):
    """Any error this product raises.

    Attributes:
      code: the numbered result code of this kind of error.
    """

    code: ClassVar[ResultCode]

    def __str__(self) -> str:
        return f"RW-{int(self.code)}: {super().__str__()}"
