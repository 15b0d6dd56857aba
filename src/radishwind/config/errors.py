"""Errors of configurations that are refused or changes that lost."""

from radishwind.core.codes import ResultCode
from radishwind.core.errors import RadishwindError


class ConfigError(RadishwindError):
    """A configuration or a change of it has a problem."""


class RevisionRefusedError(ConfigError):
    """A configuration is not adopted: lower, other, not whole or malformed."""

    code = ResultCode.REVISION_REFUSED


class ChangeConflictError(ConfigError):
    """Another change was accepted first; this one had no effect."""

    code = ResultCode.CHANGE_CONFLICT


class ChangeUnsettledError(ConfigError):
    """It can't be told yet whether the change was accepted."""

    code = ResultCode.CHANGE_UNSETTLED
