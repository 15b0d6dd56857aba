"""The node as a platform places it beside each backend server.

It wires the same slices as `radishwind.node` for a place where servers
announce themselves by heartbeats and operators write routes to the store.
Import `radishwind.sidecar.app` for the whole.
"""
