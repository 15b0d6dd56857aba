"""What a caller is told of an outcome."""

import pytest

from radishwind.core.codes import ResultCode
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.platform.responses import respond

OF_PEERS = [code for code in ResultCode if code // 1000 == 6]


@pytest.mark.parametrize("code", OF_PEERS)
@pytest.mark.parametrize("retry_after_s", [None, 0.2])
def test_what_a_node_refuses_another_is_no_fault_of_the_caller(
    code, retry_after_s
):
    refused = respond(NotRun(code, "refused", retry_after_s))

    assert refused.status == 503
    assert b'"status":503' in refused.body
    assert respond(Unknown(code, "refused")).status == 502


def test_a_caller_without_a_key_is_told_so():
    response = respond(NotRun(ResultCode.KEY_REFUSED, "no key", 1.0))

    assert response.status == 401
    assert ("WWW-Authenticate", "Token") in response.headers
