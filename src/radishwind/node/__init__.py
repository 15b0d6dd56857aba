"""The daemon beside each backend server: wires the slices, owns the tasks.

`radishwind.node.app.Node` is the whole; it is imported from there, since other
compositions use parts of this package without it.
"""
