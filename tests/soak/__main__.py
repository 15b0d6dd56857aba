"""Plays seeds one after the other: `python -m tests.soak --help`."""

import asyncio
import pathlib
import random
import sys
import tempfile
import time

import typer

from tests.soak.play import play


def main(
    seed: int = typer.Option(0, help="The first seed; 0 for a fresh one."),
    count: int = typer.Option(1, help="How many seeds, one after the other."),
    length_s: float = typer.Option(20.0, help="How long faults come (s)."),
    logs: str = typer.Option("", help="Where logs of failed seeds stay."),
) -> None:
    """Ends with 1 if a promise was broken; prints the seed and what it was."""
    first = seed or random.SystemRandom().randrange(1, 1 << 20)
    failed = 0
    for number in range(first, first + count):
        began = time.monotonic()
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{number}-"))
        if logs:
            folder = pathlib.Path(logs) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
        broken = asyncio.run(play(number, length_s, folder))
        took_s = time.monotonic() - began
        print(
            f"seed {number}: {len(broken)} broken, {took_s:.0f} s", flush=True
        )
        for line in broken:
            print(f"  BROKEN {line}")
        if broken:
            failed += 1
            print(f"  logs: {folder}")
    print(f"{count - failed} passed, {failed} failed")
    sys.exit(bool(failed))


if __name__ == "__main__":
    typer.run(main)
