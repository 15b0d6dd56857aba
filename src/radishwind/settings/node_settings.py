"""The settings of `radishwind node`."""

import dataclasses

from radishwind.http.factory import HttpLibrary
from radishwind.http.types import Address
from radishwind.routing.factory import RoutingPolicy
from radishwind.settings import parsers
from radishwind.settings.loader import setting


def _parse_http_library(text: str) -> HttpLibrary:
    try:
        return HttpLibrary(text)
    except ValueError:
        known = ", ".join(HttpLibrary)
        raise ValueError(f"expected one of {known}") from None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Settings of a node; the routing configuration comes from the store."""

    target: str = setting(
        parsers.name, "Name of the target beside, as in the inventory."
    )
    service: str = setting(parsers.name, "Service of the target beside.")
    failure_domain: str = setting(
        parsers.name, "Failure domain this instance stands in."
    )
    store: Address = setting(
        parsers.address, "The platform's key-value store.", unit="HOST:PORT"
    )
    caller_listen: Address = setting(
        parsers.address,
        "Where callers' requests are received.",
        default=Address("127.0.0.1", 8080),
        unit="HOST:PORT",
    )
    peer_listen: Address = setting(
        parsers.address,
        "Where other nodes are received.",
        default=Address("127.0.0.1", 8081),
        unit="HOST:PORT",
    )
    admin_listen: Address = setting(
        parsers.address,
        "Where the server beside and operators are received.",
        default=Address("127.0.0.1", 8082),
        unit="HOST:PORT",
    )
    peer_address: Address | None = setting(
        parsers.optional_address,
        "Where other nodes reach this one, if not at --peer-listen.",
        default=None,
        unit="HOST:PORT",
    )
    seeds: tuple[Address, ...] = setting(
        parsers.addresses,
        "Peer listeners to ask first, besides those in the store.",
        default=(),
        unit="HOST:PORT,...",
    )
    peer_key: tuple[bytes, ...] = setting(
        parsers.peer_keys,
        "Keys between nodes, 16 to 64 characters each, separated by commas; "
        "the first signs, all are accepted.",
        default=(),
        secret=True,
    )
    peer_key_file: str = setting(
        str, "File with such keys, one a line.", default="", unit="PATH"
    )
    probe_period_s: float = setting(
        parsers.number(0.05, 60),
        "A member is probed this often.",
        default=1.0,
        unit="s",
    )
    probe_timeout_s: float = setting(
        parsers.number(0.02, 30),
        "How long the answer to a probe of a member may take.",
        default=0.5,
        unit="s",
    )
    start_spread_s: float = setting(
        parsers.number(0, 600),
        "The first calls of the store wait up to this long, at random.",
        default=0.5,
        unit="s",
    )
    leave_notice_s: float = setting(
        parsers.number(0, 60),
        "A stopping node still takes work for this long after it said so.",
        default=1.0,
        unit="s",
    )
    server: Address | None = setting(
        parsers.optional_address,
        "The server beside, if it does not announce itself.",
        default=None,
        unit="HOST:PORT",
    )
    store_calls_per_s: float = setting(
        parsers.number(0.1, 100_000),
        "Calls of the store this node may make in the long run.",
        default=20.0,
        unit="1/s",
    )
    store_burst: int = setting(
        parsers.integer(1, 100_000),
        "Calls of the store this node may make at once.",
        default=100,
        unit="calls",
    )
    stop_grace_s: float = setting(
        parsers.number(0, 3600),
        "How long a planned stop waits for requests in progress.",
        default=30.0,
        unit="s",
    )
    http_library: HttpLibrary = setting(
        _parse_http_library, "HTTP library.", default=HttpLibrary.HTTPTOOLS
    )
    routing: RoutingPolicy = setting(
        RoutingPolicy.parse,
        "Routing policy; all but balanced are baselines for measurements.",
        default=RoutingPolicy.BALANCED,
    )
    metrics: bool = setting(
        parsers.yes_or_no, "Keep metrics by OpenTelemetry.", default=True
    )
    seed: int = setting(
        parsers.integer(0, 2**63 - 1),
        "Seed of the random source; 0 takes one from the system.",
        default=0,
    )
    claim_store_wait_s: float = setting(
        parsers.number(0.01, 10),
        "How long a keyed call may wait for the store.",
        default=0.5,
        unit="s",
    )
    claim_repeat_wait_s: float = setting(
        parsers.number(0, 30),
        "How long a repeat waits for a first sending that runs here.",
        default=1.0,
        unit="s",
    )
    claim_writes_per_s: float = setting(
        parsers.number(0, 10_000),
        "Writes of the store that all nodes together may make for claims.",
        default=150.0,
        unit="calls/s",
    )
    claim_reads_per_s: float = setting(
        parsers.number(0, 10_000),
        "Reads of the store that all nodes together may make for repeats "
        "once the writes are spent.",
        default=500.0,
        unit="calls/s",
    )
    claim_answer_bytes: int = setting(
        parsers.integer(0, 256 * 1024),
        "The largest answer that is recorded for repeats.",
        default=32 * 1024,
        unit="bytes",
    )
    claim_body_bytes: int = setting(
        parsers.integer(1024, 2**30),
        "The largest body of a request with an idempotency key.",
        default=1024 * 1024,
        unit="bytes",
    )
    claim_memory_bytes: int = setting(
        parsers.integer(64 * 1024, 2**32),
        "What a node remembers of claims, and again what waits to be written.",
        default=4 * 1024 * 1024,
        unit="bytes",
    )
    claim_lease_bucket_s: float = setting(
        parsers.number(1, 86_400),
        "How long claims are put on the same lease of the store.",
        default=600.0,
        unit="s",
    )
    connection_memory_bytes: int = setting(
        parsers.integer(2**20, 2**40),
        "What all connections of a node may hold together; beyond "
        "it those that hold most are closed.",
        default=64 * 1024 * 1024,
        unit="bytes",
    )
