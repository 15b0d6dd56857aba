"""Responses to callers by outcome."""

import pytest

from radishwind.core.codes import ResultCode
from radishwind.outcomes import NotRun
from radishwind.outcomes import Unknown
from radishwind.platform.responses import caller_response

PEER_CODES = [code for code in ResultCode if code // 1000 == 6]


@pytest.mark.parametrize("code", PEER_CODES)
@pytest.mark.parametrize("retry_after_s", [None, 0.2])
def test_refusal_by_a_peer_is_not_a_client_error(code, retry_after_s):
    response = caller_response(NotRun(code, "refused", retry_after_s))

    assert response.status == 503
    assert b'"status":503' in response.body
    assert caller_response(Unknown(code, "refused")).status == 502


def test_refused_key_gets_an_authentication_challenge():
    response = caller_response(NotRun(ResultCode.KEY_REFUSED, "no key", 1.0))

    assert response.status == 401
    assert ("WWW-Authenticate", "Token") in response.headers
