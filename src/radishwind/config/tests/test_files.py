"""Tests for operators' files: all faults are listed, none applied in part."""

import json
import pathlib

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

from radishwind.config.files import check_together
from radishwind.config.files import read_inventory
from radishwind.config.files import read_rules
from radishwind.config.files import write_file
from radishwind.config.integrity import find_first_fault
from radishwind.config.model import Configuration
from radishwind.config.model import Inventory
from radishwind.config.validation import FileInvalidError

EXAMPLES = pathlib.Path(__file__).parents[4] / "examples"


def inventory():
    return {
        "failure_domains": [{"name": "a"}, {"name": "b"}],
        "services": [{"name": "s"}, {"name": "t"}],
        "targets": [
            {
                "name": f"s-{i}",
                "service": "s",
                "failure_domain": "a",
                "slots": 9,
            }
            for i in range(4)
        ],
        "links": [{"a": "a", "b": "b", "one_way_ms": 1.5}],
    }


def faults(read, document):
    with pytest.raises(FileInvalidError) as info:
        read(json.dumps(document).encode())
    return [str(fault) for fault in info.value.faults]


def test_all_faults_are_listed_with_their_places():
    doc = inventory()
    doc["targets"][3]["slots"] = 0
    doc["targets"][2] = {"name": "s-0", "service": "nobody", "slotz": 1}
    doc["services"][1]["path_prefixes"] = ["/s"]
    doc["links"] = [{"a": "a", "b": "a", "one_way_ms": "1"}]
    assert faults(read_inventory, doc) == [
        "targets[2]: unknown key 'slotz', expected one of connections, "
        "failure_domain, name, service, slots",
        "targets[2].failure_domain: expected a value, got none",
        "targets[2].slots: expected a value, got none",
        "targets[3].slots: expected 1 to 10000, got 0",
        "links[0].one_way_ms: expected 0 to 10000, got '1'",
        "targets[2].name: expected a unique name, got 's-0' as in targets[0]",
        "targets[2].service: expected a service listed above, got 'nobody'",
        "links[0]: expected two failure domains, got 'a' twice",
        "links: expected a link between a and b, got none",
        "services[1]: expected a unique route, got '/s' (host any) as 's' has",
    ]


@pytest.mark.parametrize(
    ("content", "text"),
    [
        (b"", "expected JSON"),
        (b"[]", "expected an object, got []"),
        (b'{"targets": 3}', "targets: expected a list, got 3"),
        (
            b'{"targets": [], "targets": []}',
            "key 'targets' occurs more than once",
        ),
        (b'{"links":[{"a":"a","b":"b","one_way_ms":NaN}]}', "NaN"),
        (b"[" * 100_000, "expected JSON"),
        (b"\xff\xfe", "expected JSON"),
        (b" " * (16 * 1024 * 1024 + 1), "expected at most"),
    ],
)
def test_malformed_file_is_refused(content, text):
    with pytest.raises(FileInvalidError, match=r".*") as info:
        read_inventory(content)
    assert text in str(info.value)


def test_missing_fields_of_rules_are_taken_from_the_defaults():
    rules = read_rules(
        b'{"defaults": {"deadline_ms": 700, "queue_length": 5},'
        b' "services": {"s": {"queue_length": 6}}}'
    )
    assert rules.for_service("s").deadline_ms == 700
    assert rules.for_service("s").queue_length == 6
    assert rules.for_service("other").queue_length == 5


def test_contradictory_rules_are_refused():
    doc = {
        "defaults": {"max_deadline_ms": 1000, "deadline_ms": 900},
        "services": {"s": {"deadline_ms": 1001, "retry_share": 1.5}},
    }
    assert faults(read_rules, doc) == [
        "services.s.retry_share: expected 0 to 1, got 1.5",
        "services.s.deadline_ms: expected at most max_deadline_ms 1000, "
        "got 1001",
    ]


def test_rules_of_unlisted_service_are_refused():
    listed = read_inventory(json.dumps(inventory()).encode())
    rules = read_rules(b'{"services": {"gone": {}}}')
    with pytest.raises(FileInvalidError, match=r"services\.gone"):
        check_together(listed, rules)


@pytest.mark.parametrize("folder", ["onda", "desai", "quickstart"])
def test_examples_are_accepted_and_written_back_unchanged(folder):
    listed = read_inventory((EXAMPLES / folder / "inventory.json").read_bytes())
    assert read_inventory(write_file(listed)) == listed
    rules_file = EXAMPLES / folder / "rules.json"
    rules = read_rules(rules_file.read_bytes())
    assert read_rules(write_file(rules)) == rules
    check_together(listed, rules)


@pytest.mark.parametrize(
    ("kind", "entry"),
    [
        ("failure_domains", {"name": "a"}),
        ("services", {"name": "s"}),
        ("services", {"name": "u", "path_prefixes": ["/s"]}),
        ("targets", inventory()["targets"][0]),
        ("targets", {**inventory()["targets"][0], "failure_domain": "x"}),
        ("targets", {**inventory()["targets"][0], "service": "x"}),
        ("links", {"a": "a", "b": "x", "one_way_ms": 1}),
    ],
)
def test_check_of_nodes_finds_what_the_check_of_files_finds(kind, entry):
    doc = inventory()
    doc[kind].append(entry)
    assert faults(read_inventory, doc)
    listed = msgspec.convert(doc, Inventory)
    assert find_first_fault(Configuration(inventory=listed))


def try_read(read, content):
    try:
        return read(content), ()
    except FileInvalidError as exc:
        return None, exc.faults


_leaf = st.none() | st.booleans() | st.integers() | st.floats() | st.text()
_value = st.recursive(
    _leaf,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.data())
def test_corrupted_inventory_is_refused_or_read_as_a_whole(data):
    doc = inventory()
    kind = data.draw(st.sampled_from(sorted(doc)))
    entry = data.draw(st.sampled_from(doc[kind]))
    entry[data.draw(st.sampled_from([*entry, "other"]))] = data.draw(_value)
    content = json.dumps(doc).encode()
    listed, found = try_read(read_inventory, content)
    assert (listed is None) is bool(found)
    if listed is not None:
        assert find_first_fault(Configuration(inventory=listed)) == ""
        assert len(listed.targets) == 4
        assert read_inventory(write_file(listed)) == listed


@given(st.binary(max_size=80) | _value.map(lambda v: json.dumps(v).encode()))
def test_any_content_is_read_or_refused_with_faults(content):
    for read in (read_inventory, read_rules):
        accepted, found = try_read(read, content)
        assert (accepted is None) is bool(found)
