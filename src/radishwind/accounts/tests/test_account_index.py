"""An account is found by a key that belongs to no other one."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from radishwind.accounts import Account
from radishwind.accounts import AccountIndex
from radishwind.accounts import digest_key


def account(name, *keys, **options):
    return Account(name, tuple(digest_key(key) for key in keys), **options)


def test_each_key_finds_its_account():
    index = AccountIndex([account("a", "k1", "k2"), account("b", "k3")])

    assert index.has_accounts
    assert index.find_by_key("k2").name == "a"
    assert index.find_by_key("k3").name == "b"


@pytest.mark.parametrize("key", ["", "k4", "K1", "k1 ", "k" * 4096, "\udcff"])
def test_unknown_key_finds_no_account(key):
    assert AccountIndex([account("a", "k1")]).find_by_key(key) is None


def test_key_of_two_accounts_finds_neither():
    index = AccountIndex([account("a", "k1", "k2"), account("b", "k2")])

    assert index.find_by_key("k2") is None
    assert index.shared_key_count == 1
    assert index.find_by_key("k1").name == "a"


def test_index_does_not_store_keys():
    text = repr(vars(AccountIndex([account("a", "secret-key")])))

    assert "secret-key" not in text


def test_has_accounts():
    assert not AccountIndex().has_accounts
    assert AccountIndex([account("a")]).has_accounts


@given(st.dictionaries(st.text(max_size=5), st.lists(st.text(max_size=4))))
def test_found_account_is_the_only_one_with_the_key(keys_of):
    index = AccountIndex(account(n, *keys) for n, keys in keys_of.items())

    for key in {key for keys in keys_of.values() for key in keys}:
        found = index.find_by_key(key)
        owners = [n for n, keys in keys_of.items() if key in keys]
        assert found is None or owners == [found.name]
