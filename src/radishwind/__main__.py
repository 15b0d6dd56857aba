"""Runs the command line: `python -m radishwind`."""

from radishwind.cli import main

main()
