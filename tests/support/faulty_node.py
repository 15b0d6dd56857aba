"""Runs a node in which one step fails while a file exists.

python faulty_node.py MODULE:CLASS.METHOD FILE -m PROGRAM ARGUMENTS...
"""

import importlib
import pathlib
import runpy
import sys


class InjectedError(Exception):
    """The error that the step raises."""


def _make_faulty(step, file):
    module_name, _, name = step.partition(":")
    class_name, _, method_name = name.partition(".")
    owner = getattr(importlib.import_module(module_name), class_name)
    original = getattr(owner, method_name)

    def faulty(*args, **kwargs):
        if file.exists():
            raise InjectedError
        return original(*args, **kwargs)

    setattr(owner, method_name, faulty)


def main():
    step, file, _, program, *arguments = sys.argv[1:]
    _make_faulty(step, pathlib.Path(file))
    sys.argv = [program, *arguments]
    runpy.run_module(program, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
