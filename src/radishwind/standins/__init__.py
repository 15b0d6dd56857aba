"""Stand-ins for external systems, such as the store and backend servers.

They are used by the quick start, the benchmarks and the tests. The product
itself does not depend on them.
"""
