"""Names of the platform's header fields and paths; used in here only."""

#: Names a sending of a caller; it goes on unchanged and answers echo it. One
#: sending may become several attempts of ours.
REQUEST_ID = "Attempt-Id"

#: How long the receiver may take (ms), counted from its arrival.
TIMEOUT = "Timeout-Ms"

#: The incarnation of the backend server that is meant; any other refuses.
EXPECTED_INCARNATION = "Expect-Instance"

#: The service of the instance on which the request began.
CALLER_SERVICE = "Caller-Service"

#: The backend server's signature of its answer; an answer of success without
#: it does not count.
SIGNATURE = "Response-Signature"

#: Marks an answer of a backend server that did not run the request.
NOT_EXECUTED = "Not-Executed"

#: Running, waiting, slots, and the time that work takes in percent of usual.
LOAD = "Server-Load"

#: How much longer the backend server is cold (ms); in health answers.
WARMUP = "Warmup-Ms"

#: The incarnation of the backend server that answers.
SERVER_INCARNATION = "Instance-Id"

#: Carries a caller's key; it goes to nobody.
KEY = "Authorization"

#: The scheme of a key in that field.
KEY_SCHEME = "Token"

#: The account whose key a request carries.
ACCOUNT = "Tenant"

#: Fields of a caller that the system sets anew (lower case).
OVERWRITTEN_FIELDS = frozenset(
    {TIMEOUT.lower(), EXPECTED_INCARNATION.lower(), CALLER_SERVICE.lower()}
)

#: The same where there are client accounts (lower case).
ACCOUNT_FIELDS = frozenset({KEY.lower(), ACCOUNT.lower()})

#: Fields by which a backend server speaks to the system only (lower case).
NODE_ONLY_FIELDS = frozenset(
    {LOAD.lower(), SERVER_INCARNATION.lower(), WARMUP.lower()}
)

READY_PATH = "/-/ready"
HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
DEREGISTER_PATH = "/-/Instances.Deregister/"
