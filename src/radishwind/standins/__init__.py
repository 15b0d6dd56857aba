"""Small stand-ins for what lies outside: the store and a backend server.

They serve the quick start, the benches and the tests; nothing of the product
depends on them.
"""
