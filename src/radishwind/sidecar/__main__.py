"""Runs a node on the platform: `python -m radishwind.sidecar`."""

from radishwind.process.early_exit import EXIT_UNCAUGHT
from radishwind.process.early_exit import STDOUT_FD
from radishwind.process.early_exit import write_last_line
from radishwind.sidecar.startup import install_startup_signal_handlers
from radishwind.sidecar.startup import skip_unneeded_imports

signals = install_startup_signal_handlers()
skip_unneeded_imports()

try:
    from radishwind.sidecar.program import main
except BaseException as exc:
    # The interpreter prints the traceback and exits with this status.
    write_last_line(STDOUT_FD, EXIT_UNCAUGHT, type(exc).__name__, str(exc))
    raise

main(signals)
