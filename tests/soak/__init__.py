"""Randomized soak test: node processes under load and injected faults.

`python -m tests.soak --seed 1 --length-s 30` starts nodes as processes on
stand-ins of the platform, injects overlapping series of faults, and checks the
guarantees of the nodes against what callers and servers recorded. `seeds.txt`
lists each seed that has ever failed.
"""
