"""Errors of refused configurations and of changes not accepted."""

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError


class ConfigError(RadishwindError):
    """Base of the errors of configurations and their changes."""


class RevisionRefusedError(ConfigError):
    """A configuration is not adopted.

    Its revision is lower, another change produced the same revision, or it is
    incomplete or malformed.
    """

    code = ResultCode.REVISION_REFUSED


class ChangeConflictError(ConfigError):
    """Another change was accepted before this one, which had no effect."""

    code = ResultCode.CHANGE_CONFLICT


class ChangeUnsettledError(ConfigError):
    """It is not known yet whether the change was accepted."""

    code = ResultCode.CHANGE_UNSETTLED
