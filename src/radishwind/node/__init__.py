"""The node, a daemon beside each backend server: connects the other packages.

The complete node is `radishwind.node.app.Node`. It isn't imported here because
`radishwind.sidecar` uses modules of this package without it.
"""
