"""The request as the server gets it."""

import dataclasses

from radishwind.entry.call import Call
from radishwind.entry.call import nested_request
from radishwind.http.types import Request

#: Fields that only nodes may send start so; the server never sees them.
_NODE_FIELD_PREFIX = "radishwind-node-"


def outgoing(call: Call, now: float) -> Request:
    """Returns the request of `call` for the server.

    It tells the time left and the depth, and no field of nodes among
    themselves.

    Args:
      call: the call.
      now: monotonic time (s).
    """
    request = nested_request(call, now)
    headers = tuple(
        item
        for item in request.headers
        if not item[0].lower().startswith(_NODE_FIELD_PREFIX)
    )
    return dataclasses.replace(request, headers=headers)
