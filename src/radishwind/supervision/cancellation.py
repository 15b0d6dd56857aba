"""Tells the cancellation of a task from that of something it waits for."""

import asyncio
import math

import anyio


class StrayCancellationError(Exception):
    """Something that a task waited for was cancelled, and not the task."""


def is_cancelled() -> bool:
    """Returns whether the current task itself is cancelled."""
    task = asyncio.current_task()
    if task is not None and task.cancelling():
        return True
    return anyio.current_effective_deadline() == -math.inf
