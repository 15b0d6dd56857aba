"""Runs the soak test for consecutive seeds: `python -m tests.soak --help`."""

import asyncio
import pathlib
import random
import sys
import tempfile
import time

import typer

from tests.soak.deployment import INSTANCE_COUNT
from tests.soak.run_soak import run_soak


def main(
    seed: int = typer.Option(0, help="The first seed; 0 for a fresh one."),
    count: int = typer.Option(1, help="How many seeds, one after the other."),
    length_s: float = typer.Option(20.0, help="How long faults come (s)."),
    instances: int = typer.Option(
        INSTANCE_COUNT, help="How many instances, with a node each; 6 at least."
    ),
    logs: str = typer.Option("", help="Where logs of failed seeds stay."),
) -> None:
    """Ends with 1 if a promise was broken; prints the seed and what it was."""
    first_seed = seed or random.SystemRandom().randrange(1, 1 << 20)
    failed_count = 0
    for current_seed in range(first_seed, first_seed + count):
        started_at = time.monotonic()
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{current_seed}-"))
        if logs:
            folder = pathlib.Path(logs) / str(current_seed)
            folder.mkdir(parents=True, exist_ok=True)
        violations = asyncio.run(
            run_soak(current_seed, length_s, folder, instances)
        )
        took_s = time.monotonic() - started_at
        print(
            f"seed {current_seed}: {len(violations)} broken, {took_s:.0f} s",
            flush=True,
        )
        for violation in violations:
            print(f"  BROKEN {violation}")
        if violations:
            failed_count += 1
            print(f"  logs: {folder}")
    print(f"{count - failed_count} passed, {failed_count} failed")
    sys.exit(bool(failed_count))


if __name__ == "__main__":
    typer.run(main)
