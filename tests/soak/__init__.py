"""A randomized soak: real nodes as processes, faults from outside, promises.

`python -m tests.soak --seed 1 --length-s 30` starts nodes as processes on
stand-ins of the platform, lets faults come in series that overlap, and checks
what callers and servers saw. `seeds.txt` keeps each seed that ever failed.
"""
