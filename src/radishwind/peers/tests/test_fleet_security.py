"""A message counts once, by the secret, at the process it is meant for."""

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

OLD, NEW, FOREIGN = b"o" * 32, b"n" * 32, b"f" * 32
ENTRY = Address("10.0.0.1", 7600)
HERE = Address("10.0.0.2", 7600)
ELSEWHERE = Address("10.0.0.3", 7600)
PLAIN = bytes((Channel.LOADS,)) + b"a load"

URL_SAFE = str.maketrans("+/", "-_")


class Node:
    """What signs and checks at one process."""

    def __init__(self, address, secret=OLD, *, accounts=True, with_grace=False):
        self.clock = ManualClock()
        self.address = address
        self.keyring = Keyring(self.clock)
        if secret is not None:
            self.keyring.update_secret(secret, 1)
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

    def meets(self, other):
        """Hears a datagram of `other`, as nodes do each second."""
        ((data, _),) = other.authenticator.sign(PLAIN, [self.address])
        self.authenticator.verify(data, other.address)

    def sign(self, to, covered=b"account-1"):
        return self.signer.sign(to.address, "POST", "/x", covered)

    def takes(
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
    entry.meets(node)
    return node


def test_request_of_a_node_is_taken_once(entry, here):
    field = entry.sign(here)

    here.takes(field)
    with pytest.raises(PeerReplayedError):
        here.takes(field)


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
        here.takes(entry.sign(here), **change)


@pytest.mark.parametrize("field", [None, "", "x" * 32, "é" * 32, "=" * 32])
def test_request_without_a_signature_is_refused(here, field):
    with pytest.raises(PeerRefusedError):
        here.takes(field)


def test_request_by_another_secret_is_refused(here):
    foreign = Node(ENTRY, FOREIGN)
    foreign.start_ids.update(HERE, here.start_ids.own)

    with pytest.raises(PeerRefusedError):
        here.takes(foreign.sign(here))


def test_request_to_another_node_is_refused(entry, here):
    other = Node(ELSEWHERE)
    entry.start_ids.update(ELSEWHERE, here.start_ids.own)

    with pytest.raises(PeerRefusedError):
        here.takes(entry.sign(other))


def test_attempt_to_an_earlier_process_is_refused_and_signed_anew(entry, here):
    field = entry.sign(here)
    restarted = Node(HERE)

    with pytest.raises(PeerStaleError):
        restarted.takes(field)
    refusal = Response(401, restarted.verifier.refusal_headers())

    assert entry.signer.should_sign_again(HERE, refusal)
    restarted.takes(entry.sign(restarted))
    assert not entry.signer.should_sign_again(HERE, refusal)


def test_attempt_names_its_process_also_while_nothing_is_required(entry):
    adopting = Node(HERE, with_grace=True)

    with pytest.raises(PeerStaleError):
        adopting.takes(entry.sign(adopting))


def test_control_message_needs_not_know_which_process_is_there(entry, here):
    field = entry.sign(here)
    restarted = Node(HERE)

    restarted.takes(field, at_most_once=False)
    restarted.takes(Node(ELSEWHERE).sign(restarted), at_most_once=False)


def test_who_finds_a_secret_signs_before_it_knows_of_accounts(entry):
    starting = Node(HERE, accounts=None)

    entry.takes(starting.sign(entry), at_most_once=False)
    assert entry.authenticator.verify(starting.send(entry), HERE) == PLAIN
    starting.keyring.set_has_accounts(False, with_grace=False)
    assert starting.sign(entry) is None


@pytest.mark.parametrize("told", ["", "zz", "00", "ü"])
def test_refusal_with_a_start_that_cannot_be_read_changes_nothing(entry, told):
    refusal = Response(401, ((fleet_security.START_FIELD, told),))

    assert not entry.signer.should_sign_again(HERE, refusal)


def test_datagram_of_a_node_is_taken_once(entry, here):
    data = entry.send(here)

    assert here.authenticator.verify(data, ENTRY) == PLAIN
    assert here.authenticator.verify(data, ENTRY) is None
    assert here.authenticator.refused_by_reason == {
        "unsigned": 0,
        "forged": 0,
        "replayed": 1,
    }


def test_each_altered_byte_of_a_datagram_is_noticed(entry, here):
    data = entry.send(here)

    for i in range(1, len(data)):
        changed = data[:i] + bytes((data[i] ^ 1,)) + data[i + 1 :]
        assert here.authenticator.verify(changed, ENTRY) is None
    other_channel = bytes((data[0] ^ 3,)) + data[1:]
    assert here.authenticator.verify(other_channel, ENTRY) is None
    assert here.authenticator.verify(data, ENTRY) == PLAIN


@pytest.mark.parametrize("length", range(1, 10 + DATAGRAM_TAG_BYTES))
def test_datagram_cut_short_is_refused(entry, here, length):
    assert here.authenticator.verify(entry.send(here)[:length], ENTRY) is None


def test_datagram_to_another_node_is_refused(entry, here):
    assert here.authenticator.verify(entry.send(Node(ELSEWHERE)), ENTRY) is None
    assert here.authenticator.refused_by_reason["forged"] == 1


def test_datagram_without_a_signature_is_refused(here):
    assert here.authenticator.verify(PLAIN, ENTRY) is None
    assert here.authenticator.refused_by_reason["unsigned"] == 1


def test_one_sending_to_many_is_taken_by_each(entry, here):
    other = Node(ELSEWHERE)

    sent = {
        peer: data
        for data, peer in entry.authenticator.sign(PLAIN, [HERE, ELSEWHERE])
    }

    assert here.authenticator.verify(sent[HERE], ENTRY) == PLAIN
    assert other.authenticator.verify(sent[ELSEWHERE], ENTRY) == PLAIN
    assert here.authenticator.verify(sent[ELSEWHERE], ENTRY) is None


def test_without_accounts_nothing_is_signed_or_checked(monkeypatch):
    def fail(*args, **more):
        raise AssertionError("expected no signature to be made")

    node, other = Node(ENTRY, accounts=False), Node(HERE, accounts=False)
    monkeypatch.setattr(fleet_security.hashlib, "blake2b", fail)

    assert node.sign(other) is None
    assert node.send(other) is PLAIN
    assert other.authenticator.verify(PLAIN, ENTRY) is PLAIN
    other.takes(None)
    assert other.verifier.refusal_headers() == ()


def test_node_without_accounts_yet_reads_what_others_sign(entry):
    behind = Node(HERE, None, accounts=False)

    assert behind.authenticator.verify(entry.send(behind), ENTRY) == PLAIN
    behind.takes(entry.sign(behind))


def test_node_that_lacks_the_secret_takes_what_comes(entry):
    lacking = Node(HERE, None)

    assert lacking.keyring.lacks_secret
    assert lacking.authenticator.verify(entry.send(lacking), ENTRY) == PLAIN
    assert lacking.authenticator.verify(PLAIN, ENTRY) == PLAIN
    lacking.takes(entry.sign(lacking))
    lacking.takes(None)


def test_members_accept_before_they_require(entry):
    adopting = Node(HERE, with_grace=True)

    assert adopting.keyring.signing_secret is not None
    adopting.takes(None)
    assert adopting.authenticator.verify(PLAIN, ENTRY) == PLAIN
    adopting.clock.advance(UNSIGNED_GRACE_S)
    with pytest.raises(PeerRefusedError):
        adopting.takes(None)
    assert adopting.authenticator.verify(PLAIN, ENTRY) is None


def test_replay_is_refused_also_while_signatures_are_not_required(entry):
    adopting = Node(HERE, with_grace=True)
    entry.meets(adopting)
    field, data = entry.sign(adopting), entry.send(adopting)
    adopting.takes(field)
    adopting.authenticator.verify(data, ENTRY)

    with pytest.raises(PeerReplayedError):
        adopting.takes(field)
    assert adopting.authenticator.verify(data, ENTRY) is None


def test_rotation_takes_both_secrets_for_a_while(entry, here):
    here.keyring.update_secret(NEW, 2)

    here.takes(entry.sign(here))
    assert here.authenticator.verify(entry.send(here), ENTRY) == PLAIN
    entry.keyring.update_secret(NEW, 2)
    here.takes(entry.sign(here))
    assert here.authenticator.verify(entry.send(here), ENTRY) == PLAIN


def test_replaced_secret_ends(entry, here):
    here.keyring.update_secret(NEW, 2)
    here.clock.advance(OLD_SECRET_VALID_S)

    with pytest.raises(PeerRefusedError):
        here.takes(entry.sign(here))
    assert here.authenticator.verify(entry.send(here), ENTRY) is None


def test_older_record_changes_nothing(entry, here):
    here.keyring.update_secret(NEW, 5)
    here.keyring.update_secret(FOREIGN, 4)

    assert here.keyring.signing_secret == NEW


@pytest.mark.parametrize("by", ["datagram", "request"])
def test_unknown_signature_asks_for_a_look_at_the_record(entry, here, by):
    asked = []
    here.keyring.subscribe(lambda: asked.append(1))
    entry.keyring.update_secret(NEW, 2)

    if by == "datagram":
        here.authenticator.verify(entry.send(here), ENTRY)
    else:
        with pytest.raises(PeerRefusedError):
            here.takes(entry.sign(here))

    assert asked
    assert here.keyring.may_be_outdated


def test_no_line_or_field_holds_the_secret(entry, here):
    secret = OLD.hex()
    lines = []
    from radishwind.telemetry import logs

    taker = lines.append
    logs._takers.append(taker)
    try:
        here.keyring.update_secret(NEW, 2)
        here.authenticator.verify(PLAIN, ENTRY)
    finally:
        logs._takers.remove(taker)
    text = (
        repr(lines) + entry.sign(here) + repr(here.verifier.refusal_headers())
    )

    assert lines
    assert secret not in text
    assert NEW.hex() not in text
    assert "oooo" not in text
    assert "nnnn" not in text
    for held in (OLD, NEW):
        for skipped in range(3):
            # However it lies in what was encoded; the ends depend on that.
            plain = base64.b64encode(held[skipped:24]).decode()
            assert plain[:24] not in text
            assert plain[:24].translate(URL_SAFE) not in text
