"""The daemon beside each backend server: wires the slices, owns the tasks."""

from radishwind.node.app import Node

__all__ = ["Node"]
