"""Errors of what the platform sent, with the place and what was expected."""

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError


class PlatformMalformedError(RadishwindError):
    """A message or file of the platform cannot be read; nothing was taken."""

    code = ResultCode.PLATFORM_MALFORMED
