"""The numbered result codes; `docs/result-codes.md` has the same table.

The thousands digit tells the family: 1 settings and operators' files, 2 the
caller's request, 3 not run, 4 outcome unknown, 5 the platform's store, 6 peers.
"""

import enum


class ResultCode(enum.IntEnum):
    """A number that stays the same across releases, one per kind of result."""

    SETTING_INVALID = 1001
    FILE_INVALID = 1101
    CHANGE_CONFLICT = 1102
    CHANGE_UNSETTLED = 1103
    REVISION_REFUSED = 1104
    REQUEST_MALFORMED = 2001
    REQUEST_TOO_LARGE = 2002
    SERVICE_UNKNOWN = 2003
    KEY_REUSED = 2004
    SENDER_TOO_SLOW = 2005
    ANNOUNCEMENT_REFUSED = 2006
    NO_TARGET = 3001
    OVERLOADED = 3002
    LEAVING = 3003
    DEADLINE_PASSED = 3004
    CONNECT_FAILED = 3005
    SERVER_SHED = 3006
    QUARANTINED = 3007
    CLAIM_UNAVAILABLE = 3008
    SERVER_UNANNOUNCED = 3009
    TARGET_UNLISTED = 3010
    EXCHANGE_BROKEN = 4001
    EXCHANGE_TIMEOUT = 4002
    ANSWER_MISMATCH = 4003
    CLAIM_UNKNOWN = 4004
    CLAIM_RUNNING = 4005
    CLAIM_UNCHECKED = 4006
    INTERNAL_ERROR = 4007
    STORE_UNAVAILABLE = 5001
    STORE_ANSWER_LOST = 5002
    STORE_ANSWER_MALFORMED = 5003
    LEASE_LOST = 5004
    PEER_UNAUTHENTICATED = 6001
    PEER_MALFORMED = 6002
    PEER_REPLAYED = 6003
    PEER_STALE = 6004
    PEER_TOO_LARGE = 6005
    ADMIN_UNAVAILABLE = 6006
