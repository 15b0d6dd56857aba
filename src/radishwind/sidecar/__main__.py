"""Runs a node as the platform starts it: `python -m radishwind.sidecar`."""

from radishwind.sidecar.program import main

main()
