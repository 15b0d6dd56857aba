"""The command line `radishwind`."""

from radishwind.cli.app import main

__all__ = ["main"]
