"""The base exception, from which each package derives its own."""

from typing import ClassVar

from radishwind.core.codes import ResultCode


class RadishwindError(Exception):
    """Base of all exceptions of this project.

    Attributes:
      code: result code of this class of errors.
    """

    code: ClassVar[ResultCode]

    def __str__(self) -> str:
        return f"RW-{int(self.code)}: {super().__str__()}"
