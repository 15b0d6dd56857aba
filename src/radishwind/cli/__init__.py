"""The `radishwind` command line."""

from radishwind.cli.app import main

__all__ = ["main"]
