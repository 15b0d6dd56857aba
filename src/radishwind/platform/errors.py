"""Errors in data from the platform."""

from radishwind.core.codes import ResultCode
from radishwind.decoding import MalformedInputError


class PlatformMalformedError(MalformedInputError):
    """A message or file of the platform is malformed; none of it is used."""

    code = ResultCode.PLATFORM_MALFORMED
