"""A signed message is accepted once, by the process it is addressed to."""

import base64

import pytest

from radishwind.core import ManualClock
from radishwind.http import Address
from radishwind.http import Response
from radishwind.peers import fleet_security
from radishwind.peers.fleet_security import DATAGRAM_TAG_BYTES
from radishwind.peers.fleet_security import FleetDatagramAuthenticator
from radishwind.peers.fleet_security import FleetSigner
from radishwind.peers.fleet_security import FleetVerifier
from radishwind.peers.fleet_security import StartIds
from radishwind.peers.keyring import Keyring
from radishwind.peers.keyring import OLD_SECRET_VALID_S
from radishwind.peers.keyring import UNSIGNED_GRACE_S
from radishwind.peers.peer_socket import Channel
from radishwind.peers.signing import PeerRefusedError
from radishwind.peers.signing import PeerReplayedError
from radishwind.peers.signing import PeerStaleError
from radishwind.store.position import StorePosition

OLD, NEW, FOREIGN = b"o" * 32, b"n" * 32, b"f" * 32
ENTRY = Address("10.0.0.1", 7600)
HERE = Address("10.0.0.2", 7600)
ELSEWHERE = Address("10.0.0.3", 7600)
PLAIN = bytes((Channel.LOADS,)) + b"a load"

URL_SAFE = str.maketrans("+/", "-_")


class Node:
    """Signer, verifier and datagram authenticator of one process."""

    def __init__(self, address, secret=OLD, *, accounts=True, with_grace=False):
        self.clock = ManualClock()
        self.address = address
        self.keyring = Keyring(self.clock)
        if secret is not None:
            self.keyring.update_secret(secret, StorePosition(0, 1))
        if accounts is not None:
            self.keyring.set_has_accounts(accounts, with_grace=with_grace)
        Node.started += 1
        self.start_ids = StartIds(Node.started.to_bytes(4, "little"))
        self.signer = FleetSigner(self.keyring, self.start_ids)
        self.verifier = FleetVerifier(self.keyring, self.start_ids, address)
        self.authenticator = FleetDatagramAuthenticator(
            self.keyring, self.start_ids, address, self.clock
        )

    started = 0

    def receive_datagram_of(self, other):
        """Receives a datagram of `other`, as nodes do every second."""
        ((data, _),) = other.authenticator.sign(PLAIN, [self.address])
        self.authenticator.verify(data, other.address)

    def sign(self, to, covered=b"account-1"):
        return self.signer.sign(to.address, "POST", "/x", covered)

    def verify_request(
        self,
        field,
        method="POST",
        path="/x",
        covered=b"account-1",
        *,
        at_most_once=True,
    ):
        self.verifier.verify(
            field, method, path, covered, at_most_once=at_most_once
        )

    def send(self, to, datagram=PLAIN):
        ((data, _),) = self.authenticator.sign(datagram, [to.address])
        return data


@pytest.fixture
def entry():
    return Node(ENTRY)


@pytest.fixture
def here(entry):
    node = Node(HERE)
    entry.receive_datagram_of(node)
    return node


def test_request_of_a_node_is_accepted_once(entry, here):
    field = entry.sign(here)

    here.verify_request(field)
    with pytest.raises(PeerReplayedError):
        here.verify_request(field)


@pytest.mark.parametrize(
    "change",
    [
        {"method": "GET"},
        {"path": "/y"},
        {"covered": b"account-2"},
    ],
)
def test_altered_request_is_refused(entry, here, change):
    with pytest.raises(PeerRefusedError):
        here.verify_request(entry.sign(here), **change)


@pytest.mark.parametrize("field", [None, "", "x" * 32, "é" * 32, "=" * 32])
def test_request_without_a_signature_is_refused(here, field):
    with pytest.raises(PeerRefusedError):
        here.verify_request(field)


def test_request_signed_with_another_secret_is_refused(here):
    foreign = Node(ENTRY, FOREIGN)
    foreign.start_ids.update(HERE, here.start_ids.own)

    with pytest.raises(PeerRefusedError):
        here.verify_request(foreign.sign(here))


def test_request_to_another_node_is_refused(entry, here):
    other = Node(ELSEWHERE)
    entry.start_ids.update(ELSEWHERE, here.start_ids.own)

    with pytest.raises(PeerRefusedError):
        here.verify_request(entry.sign(other))


def test_attempt_to_an_earlier_process_is_refused_and_signed_again(entry, here):
    field = entry.sign(here)
    restarted = Node(HERE)

    with pytest.raises(PeerStaleError):
        restarted.verify_request(field)
    refusal = Response(401, restarted.verifier.refusal_headers())

    assert entry.signer.should_sign_again(HERE, refusal)
    restarted.verify_request(entry.sign(restarted))
    assert not entry.signer.should_sign_again(HERE, refusal)


def test_attempt_names_its_process_even_while_signatures_are_optional(entry):
    in_grace = Node(HERE, with_grace=True)

    with pytest.raises(PeerStaleError):
        in_grace.verify_request(entry.sign(in_grace))


def test_control_message_may_name_an_earlier_or_unknown_process(entry, here):
    field = entry.sign(here)
    restarted = Node(HERE)

    restarted.verify_request(field, at_most_once=False)
    restarted.verify_request(
        Node(ELSEWHERE).sign(restarted), at_most_once=False
    )


def test_node_with_a_secret_signs_before_it_knows_of_accounts(entry):
    starting = Node(HERE, accounts=None)

    entry.verify_request(starting.sign(entry), at_most_once=False)
    assert entry.authenticator.verify(starting.send(entry), HERE) == PLAIN
    starting.keyring.set_has_accounts(False, with_grace=False)
    assert starting.sign(entry) is None


@pytest.mark.parametrize("start_id", ["", "zz", "00", "ü"])
def test_refusal_with_a_malformed_start_id_is_ignored(entry, start_id):
    refusal = Response(401, ((fleet_security.START_FIELD, start_id),))

    assert not entry.signer.should_sign_again(HERE, refusal)


def test_datagram_of_a_node_is_accepted_once(entry, here):
    data = entry.send(here)

    assert here.authenticator.verify(data, ENTRY) == PLAIN
    assert here.authenticator.verify(data, ENTRY) is None
    assert here.authenticator.refused_by_reason == {
        "unsigned": 0,
        "forged": 0,
        "replayed": 1,
    }


def test_datagram_with_any_altered_byte_is_refused(entry, here):
    data = entry.send(here)

    for i in range(1, len(data)):
        changed = data[:i] + bytes((data[i] ^ 1,)) + data[i + 1 :]
        assert here.authenticator.verify(changed, ENTRY) is None
    other_channel = bytes((data[0] ^ 3,)) + data[1:]
    assert here.authenticator.verify(other_channel, ENTRY) is None
    assert here.authenticator.verify(data, ENTRY) == PLAIN


@pytest.mark.parametrize("length", range(1, 10 + DATAGRAM_TAG_BYTES))
def test_truncated_datagram_is_refused(entry, here, length):
    assert here.authenticator.verify(entry.send(here)[:length], ENTRY) is None


def test_datagram_to_another_node_is_refused(entry, here):
    assert here.authenticator.verify(entry.send(Node(ELSEWHERE)), ENTRY) is None
    assert here.authenticator.refused_by_reason["forged"] == 1


def test_datagram_without_a_signature_is_refused(here):
    assert here.authenticator.verify(PLAIN, ENTRY) is None
    assert here.authenticator.refused_by_reason["unsigned"] == 1


def test_datagram_to_many_peers_is_accepted_by_each(entry, here):
    other = Node(ELSEWHERE)

    sent = {
        peer: data
        for data, peer in entry.authenticator.sign(PLAIN, [HERE, ELSEWHERE])
    }

    assert here.authenticator.verify(sent[HERE], ENTRY) == PLAIN
    assert other.authenticator.verify(sent[ELSEWHERE], ENTRY) == PLAIN
    assert here.authenticator.verify(sent[ELSEWHERE], ENTRY) is None


def test_without_accounts_nothing_is_signed_or_verified(monkeypatch):
    def fail(*args, **kwargs):
        raise AssertionError("expected no signature to be computed")

    node, other = Node(ENTRY, accounts=False), Node(HERE, accounts=False)
    monkeypatch.setattr(fleet_security.hashlib, "blake2b", fail)

    assert node.sign(other) is None
    assert node.send(other) is PLAIN
    assert other.authenticator.verify(PLAIN, ENTRY) is PLAIN
    other.verify_request(None)
    assert other.verifier.refusal_headers() == ()


def test_node_without_accounts_accepts_signed_messages(entry):
    behind = Node(HERE, None, accounts=False)

    assert behind.authenticator.verify(entry.send(behind), ENTRY) == PLAIN
    behind.verify_request(entry.sign(behind))


def test_node_without_the_secret_accepts_all_messages(entry):
    without_secret = Node(HERE, None)

    assert without_secret.keyring.lacks_secret
    assert (
        without_secret.authenticator.verify(entry.send(without_secret), ENTRY)
        == PLAIN
    )
    assert without_secret.authenticator.verify(PLAIN, ENTRY) == PLAIN
    without_secret.verify_request(entry.sign(without_secret))
    without_secret.verify_request(None)


def test_signatures_are_accepted_before_they_are_required(entry):
    in_grace = Node(HERE, with_grace=True)

    assert in_grace.keyring.signing_secret is not None
    in_grace.verify_request(None)
    assert in_grace.authenticator.verify(PLAIN, ENTRY) == PLAIN
    in_grace.clock.advance(UNSIGNED_GRACE_S)
    with pytest.raises(PeerRefusedError):
        in_grace.verify_request(None)
    assert in_grace.authenticator.verify(PLAIN, ENTRY) is None


def test_replay_is_refused_even_while_signatures_are_optional(entry):
    in_grace = Node(HERE, with_grace=True)
    entry.receive_datagram_of(in_grace)
    field, data = entry.sign(in_grace), entry.send(in_grace)
    in_grace.verify_request(field)
    in_grace.authenticator.verify(data, ENTRY)

    with pytest.raises(PeerReplayedError):
        in_grace.verify_request(field)
    assert in_grace.authenticator.verify(data, ENTRY) is None


def test_both_secrets_are_accepted_during_a_rotation(entry, here):
    here.keyring.update_secret(NEW, StorePosition(0, 2))

    here.verify_request(entry.sign(here))
    assert here.authenticator.verify(entry.send(here), ENTRY) == PLAIN
    entry.keyring.update_secret(NEW, StorePosition(0, 2))
    here.verify_request(entry.sign(here))
    assert here.authenticator.verify(entry.send(here), ENTRY) == PLAIN


def test_replaced_secret_expires(entry, here):
    here.keyring.update_secret(NEW, StorePosition(0, 2))
    here.clock.advance(OLD_SECRET_VALID_S)

    with pytest.raises(PeerRefusedError):
        here.verify_request(entry.sign(here))
    assert here.authenticator.verify(entry.send(here), ENTRY) is None


def test_secret_of_an_older_record_is_ignored(entry, here):
    here.keyring.update_secret(NEW, StorePosition(0, 5))
    here.keyring.update_secret(FOREIGN, StorePosition(0, 4))

    assert here.keyring.signing_secret == NEW


@pytest.mark.parametrize("by", ["datagram", "request"])
def test_unknown_signature_notifies_of_a_possibly_newer_secret(entry, here, by):
    notifications = []
    here.keyring.subscribe(lambda: notifications.append(1))
    entry.keyring.update_secret(NEW, StorePosition(0, 2))

    if by == "datagram":
        here.authenticator.verify(entry.send(here), ENTRY)
    else:
        with pytest.raises(PeerRefusedError):
            here.verify_request(entry.sign(here))

    assert notifications
    assert here.keyring.may_be_outdated


def test_secret_appears_in_no_log_line_or_header_field(entry, here):
    secret = OLD.hex()
    lines = []
    from radishwind.telemetry import part_logger

    log_handler = lines.append
    part_logger._sinks.append(log_handler)
    try:
        here.keyring.update_secret(NEW, StorePosition(0, 2))
        here.authenticator.verify(PLAIN, ENTRY)
    finally:
        part_logger._sinks.remove(log_handler)
    text = (
        repr(lines) + entry.sign(here) + repr(here.verifier.refusal_headers())
    )

    assert lines
    assert secret not in text
    assert NEW.hex() not in text
    assert "oooo" not in text
    assert "nnnn" not in text
    for known_secret in (OLD, NEW):
        for skipped in range(3):
            # For each of the three alignments of base64; only the ends of the
            # encoded text depend on what surrounds the secret.
            plain = base64.b64encode(known_secret[skipped:24]).decode()
            assert plain[:24] not in text
            assert plain[:24].translate(URL_SAFE) not in text
