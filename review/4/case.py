"""Uploads that a server answers before it has read them.

Clients send uploads on kept connections, at the pace of a link. Servers answer
a few of the uploads while the body is still on its way, and read the rest of it
afterwards: in turn a refusal as not run, and the result of a run. The clients
wait for the answer.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))

import lab2  # noqa: E402

#: Three of the five servers answer early, and these one in this many requests:
#: the share 0.6 and the 0.05 of `garble`.
MACHINES = 5
EARLY_SERVERS = 3
EARLY_OF = 20

CONNECTIONS = 30
UPLOADS_EACH = 200

BODY_BYTES = 1_000_000
PIECE_BYTES = 20_000

#: Pause between two pieces of a body: 100 Mbit/s, a link of the pages (s).
PIECE_S = PIECE_BYTES * 8 / 100e6

#: A server answers early this long after the head came (s).
EARLY_AFTER_S = 0.002

TIMEOUT_MS = 4_000

#: The rule allows this many connections closed without an answer.
MAX_CLOSED = 3


class EarlyAnswers:
    """Answers some uploads before their body is in.

    Attributes:
      early: the ids of these uploads.
    """

    def __init__(self) -> None:
        self.early: list[str] = []
        self._count = 0

    async def __call__(
        self,
        server: lab2.Server,
        message: lab2.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Handles a request; the connection goes on in any case."""
        self._count += 1
        is_early = lab2.has_trouble() and self._count % EARLY_OF == 0
        if not is_early or message.first[0] != "POST":
            return await server.run(message, reader, writer)
        attempt_id = message.fields["attempt-id"]
        has_run = len(self.early) % 2 == 0
        self.early.append(attempt_id)
        server.note(message, has_run=has_run)
        await asyncio.sleep(EARLY_AFTER_S)
        answer = server.answer(message, 200, b"taken")
        if not has_run:
            refusal = {
                "Attempt-Id": attempt_id,
                "Not-Executed": "1",
                "Server-Load": server.load(),
            }
            answer = lab2.encode("HTTP/1.1 503 Full", refusal, b"")
        writer.write(answer)
        await writer.drain()
        server.record.add(f"server answers {attempt_id} early, run={has_run}")
        await lab2.read_body(reader, message)
        return True


class Uploader:
    """A client that keeps its connection.

    Attributes:
      statuses: the statuses of its answers.
      closed: the uploads whose connection closed without an answer.
    """

    def __init__(self, address: tuple[str, int], record: lab2.Record) -> None:
        self._address = address
        self._record = record
        self.statuses: list[int] = []
        self.closed: list[str] = []

    async def run(self) -> None:
        """Sends the uploads of this client one after the other."""
        reader, writer = await self._connect()
        for _ in range(UPLOADS_EACH):
            if await self._upload(reader, writer):
                continue
            writer.close()
            reader, writer = await self._connect()
        writer.close()

    async def _connect(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection and lets it carry a first request."""
        reader, writer = await asyncio.open_connection(*self._address)
        writer.write(
            lab2.request_head(
                "GET", "/intake/safe/x", lab2.new_id(), TIMEOUT_MS
            )
        )
        answer = await lab2.read_head(reader)
        await lab2.read_body(reader, answer)
        return reader, writer

    async def _upload(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Returns whether the connection may carry another request."""
        attempt_id = lab2.new_id()
        head = lab2.request_head(
            "POST",
            "/intake/upload/x",
            attempt_id,
            TIMEOUT_MS,
            Content_Length=str(BODY_BYTES),
        )
        self._record.add(f"client at {self._address[0]} sends {attempt_id}")
        sending = asyncio.create_task(_send(writer, head))
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                answer = await lab2.read_head(reader)
                await lab2.read_body(reader, answer)
        except TimeoutError:
            self._record.add(f"client: {attempt_id} gives up")
            return False
        except (EOFError, OSError) as exc:
            self._record.add(
                f"client: {attempt_id} CLOSED without an answer: {exc!r}"
            )
            self.closed.append(attempt_id)
            return False
        finally:
            was_sent = sending.done()
            sending.cancel()
        self._record.add(f"client: {attempt_id} answered {answer.status}")
        self.statuses.append(answer.status)
        # A client that has its answer sends no more of the body.
        return was_sent and answer.fields.get("connection") != "close"


async def _send(writer: asyncio.StreamWriter, head: bytes) -> None:
    """Sends an upload; ends early if the connection does."""
    writer.write(head)
    try:
        for sent in range(0, BODY_BYTES, PIECE_BYTES):
            if sent:
                await asyncio.sleep(PIECE_S)
            writer.write(b"u" * PIECE_BYTES)
            await writer.drain()
    except OSError:
        return


async def play(record: lab2.Record) -> int:
    """Returns the exit status."""
    deployment = lab2.Deployment(record, ["intake"] * MACHINES)
    try:
        await deployment.start(
            [lab2.route("intake", "upload"), lab2.route("intake", "safe")]
        )
        behaviours = []
        for machine in deployment.machines[:EARLY_SERVERS]:
            machine.server.behaviour = behaviour = EarlyAnswers()
            behaviours.append(behaviour)
        machines = deployment.machines
        clients = [
            Uploader(machines[n % len(machines)].outbound, record)
            for n in range(CONNECTIONS)
        ]
        await asyncio.gather(*(client.run() for client in clients))
    finally:
        await deployment.close()
    return judge(record, clients, behaviours)


def judge(
    record: lab2.Record,
    clients: list[Uploader],
    behaviours: list[EarlyAnswers],
) -> int:
    """Records what was seen; returns the exit status."""
    early = {attempt_id for b in behaviours for attempt_id in b.early}
    closed = [attempt_id for client in clients for attempt_id in client.closed]
    statuses = [status for client in clients for status in client.statuses]
    counts = {
        status: statuses.count(status) for status in sorted(set(statuses))
    }
    record.add(f"answers by status: {counts}")
    record.add(
        f"{len(early)} uploads answered early by their server; {len(closed)} "
        f"connections closed without an answer, {len(early & set(closed))} of "
        "them with such an upload"
    )
    return lab2.BROKEN if len(closed) > MAX_CLOSED else lab2.HELD


if __name__ == "__main__":
    lab2.main(FOLDER, play)
