"""The node as the platform runs it beside each backend server.

It wires the same parts as `radishwind.node` for a platform on which servers
announce themselves by heartbeats and operators write routes to the store.
Import `radishwind.sidecar.app` for the whole node.
"""
