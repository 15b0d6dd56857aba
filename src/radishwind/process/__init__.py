"""The process of a node: its signals, and why and how it ends.

`signals` and `early_exit` are imported before anything else of a node, so this
module imports nothing.
"""
