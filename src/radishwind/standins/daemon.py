"""Runs the backend stand-in as a process."""

import dataclasses
import random
import signal
import uuid

import anyio

from radishwind.core.clock import SystemClock
from radishwind.http.factory import HttpLibrary
from radishwind.http.factory import make_sender
from radishwind.http.factory import make_server
from radishwind.http.sender import Sender
from radishwind.http.types import Address
from radishwind.standins.announcer import Announcer
from radishwind.standins.backend import BackendOptions
from radishwind.standins.backend import BackendStandin


@dataclasses.dataclass(frozen=True, slots=True)
class BackendDaemon:
    """A backend stand-in as a process.

    Attributes:
      options: the behavior of the stand-in.
      listen: the address at which it listens.
      node: the admin listener of the node on the same instance; `None` to
        send no announcements.
      seed: the seed of the service times.
    """

    options: BackendOptions
    listen: Address
    node: Address | None
    seed: int

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains and returns."""
        backend = BackendStandin(
            self.options, random.Random(self.seed), SystemClock()
        )
        server = make_server(HttpLibrary.AIOHTTP)
        address = await server.start(backend.handle, self.listen)
        sender = make_sender(HttpLibrary.AIOHTTP, connections=1)
        announcer = self._make_announcer(backend, sender, address)
        async with anyio.create_task_group() as tasks:
            if announcer is not None:
                tasks.start_soon(announcer.run)
            await _wait_for_stop_signal()
            backend.start_draining()
            if announcer is not None:
                await announcer.announce()
            await backend.wait_until_idle()
            tasks.cancel_scope.cancel()
        await server.close(1.0)
        await sender.close()

    def _make_announcer(
        self, backend: BackendStandin, sender: Sender, address: Address
    ) -> Announcer | None:
        if self.node is None:
            return None
        return Announcer(
            backend,
            sender,
            target=self.options.name,
            instance=uuid.uuid4().hex,
            address=address,
            node=self.node,
        )


async def _wait_for_stop_signal() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
