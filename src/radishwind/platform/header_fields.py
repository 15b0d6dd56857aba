"""Names of the platform's header fields and paths, for this package only."""

#: The id of a caller's request. It is forwarded unchanged and responses echo
#: it. A node may make several attempts for one request.
REQUEST_ID = "Attempt-Id"

#: The time that the receiver has (ms), from the arrival of the request.
TIMEOUT = "Timeout-Ms"

#: The incarnation that the request is for; any other refuses it.
EXPECTED_INCARNATION = "Expect-Instance"

#: The service of the instance from which the request originates.
CALLER_SERVICE = "Caller-Service"

#: The backend server's signature of its response. A successful response without
#: it is not authentic.
SIGNATURE = "Response-Signature"

#: Marks the response of a backend server that did not run the request.
NOT_EXECUTED = "Not-Executed"

#: Running requests, queued requests, slots, and run time in percent of normal.
LOAD = "Server-Load"

#: The warm-up time left of the backend server (ms); in health responses.
WARMUP = "Warmup-Ms"

#: The requests per second that a backend server in need accepts from all nodes
#: together, for as long as its responses state it.
LIMIT = "Server-Limit"

#: Marks the responses of a backend server that is leaving.
LEAVING = "Server-Leaving"

#: The era of the store, in its answers; it rises each time that the store comes
#: back from an older copy.
ERA = "Store-Era"

#: The incarnation of the responding backend server.
SERVER_INCARNATION = "Instance-Id"

#: A caller's API key; it is never forwarded.
KEY = "Authorization"

#: The authentication scheme in that field.
KEY_SCHEME = "Token"

#: The client account whose API key the request carries.
ACCOUNT = "Tenant"

#: Fields of a caller that the node overwrites (lower case).
OVERWRITTEN_FIELDS = frozenset(
    {TIMEOUT.lower(), EXPECTED_INCARNATION.lower(), CALLER_SERVICE.lower()}
)

#: Further fields that the node overwrites if there are client accounts (lower
#: case).
ACCOUNT_FIELDS = frozenset({KEY.lower(), ACCOUNT.lower()})

#: Fields from a backend server that the node does not forward (lower case).
NODE_ONLY_FIELDS = frozenset(
    {LOAD.lower(), SERVER_INCARNATION.lower(), WARMUP.lower()}
)

READY_PATH = "/-/ready"
HEARTBEAT_PATH = "/-/Instances.Heartbeat/"
DEREGISTER_PATH = "/-/Instances.Deregister/"
