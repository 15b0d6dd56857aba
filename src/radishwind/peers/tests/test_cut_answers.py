"""An answer of a peer that breaks off at any byte is never taken for one."""

import pytest
from tests.support.cutting_server import CuttingServer
from tests.support.cutting_server import encode

from radishwind.http import HttpLibrary
from radishwind.http import make_sender
from radishwind.peers.peer_client import HttpPeerClient
from radishwind.peers.peer_client import PeerError

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("library", list(HttpLibrary))
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_cut_answer_to_a_control_message_fails_it(library, is_chunked):
    raw = encode(b"X: y\r\n", b'{"entries":[]}', is_chunked=is_chunked)
    sender = make_sender(library, 1)
    async with CuttingServer(raw) as server:
        client = HttpPeerClient(sender)
        whole = await client.call(server.address, "pull", b"{}", 10.0)
        assert whole == b'{"entries":[]}'
        for _ in server.cuts():
            with pytest.raises(PeerError):
                await client.call(server.address, "pull", b"{}", 10.0)
        await sender.close()
