"""Runs the command line: `python -m radishwind`."""

import sys

from radishwind.process.early_exit import open_standard_descriptors
from radishwind.process.early_exit import STDERR_FD
from radishwind.process.signals import ProcessSignals


def main() -> None:
    """Runs the command line."""
    if sys.argv[1:2] == ["node"]:
        # Before the imports of the commands, which take most of the start.
        open_standard_descriptors()
        ProcessSignals(STDERR_FD).install()
    from radishwind.cli import main as run_command

    run_command()


if __name__ == "__main__":
    main()
