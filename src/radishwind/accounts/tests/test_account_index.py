"""Accounts are found by a key that exactly one of them holds."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from radishwind.accounts import Account
from radishwind.accounts import AccountIndex
from radishwind.accounts import digest_key


def account(name, *keys, **more):
    return Account(name, tuple(digest_key(key) for key in keys), **more)


def test_each_key_of_an_account_finds_it():
    book = AccountIndex([account("a", "k1", "k2"), account("b", "k3")])

    assert book.has_accounts
    assert book.find_by_key("k2").name == "a"
    assert book.find_by_key("k3").name == "b"


@pytest.mark.parametrize("key", ["", "k4", "K1", "k1 ", "k" * 4096, "\udcff"])
def test_another_key_is_nobodys(key):
    assert AccountIndex([account("a", "k1")]).find_by_key(key) is None


def test_a_key_of_two_accounts_is_nobodys():
    book = AccountIndex([account("a", "k1", "k2"), account("b", "k2")])

    assert book.find_by_key("k2") is None
    assert book.shared_key_count == 1
    assert book.find_by_key("k1").name == "a"


def test_no_key_stands_in_the_book():
    shown = repr(vars(AccountIndex([account("a", "secret-key")])))

    assert "secret-key" not in shown


def test_without_accounts_none_are_in_use():
    assert not AccountIndex().has_accounts
    assert AccountIndex([account("a")]).has_accounts


@given(st.dictionaries(st.text(max_size=5), st.lists(st.text(max_size=4))))
def test_whoever_is_found_holds_the_key(keys_of):
    book = AccountIndex(account(n, *keys) for n, keys in keys_of.items())

    for key in {key for keys in keys_of.values() for key in keys}:
        found = book.find_by_key(key)
        holders = [n for n, keys in keys_of.items() if key in keys]
        assert found is None or holders == [found.name]
