"""Errors in data from the platform."""

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError


class PlatformMalformedError(RadishwindError):
    """A message or file of the platform is malformed and was ignored whole."""

    code = ResultCode.PLATFORM_MALFORMED
