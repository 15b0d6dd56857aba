"""The target side: the one authority on the server beside the node."""

from radishwind.target.pipeline import TargetPipeline

__all__ = ["TargetPipeline"]
