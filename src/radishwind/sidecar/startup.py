"""Prepares the process before the imports, which take most of a node's start.

After a power loss no caller is served until the imports are done.
"""

import gc
import os
import signal
from types import FrameType


def skip_unneeded_imports() -> None:
    """Disables work during the imports that a node does not need.

    Libraries do not read the machine's certificates when they are imported,
    since no connection of a node uses TLS. The garbage collector does not scan
    modules, which stay in memory anyway.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
    gc.disable()


def install_startup_signal_handlers() -> None:
    """Installs the signal handlers in force until the node has its own.

    A signal to stop ends the process with exit code 0, since no request is in
    progress yet. A signal to reload would end the process by default; it is
    ignored, since the settings are read later, or checked again within a
    second.
    """
    signal.signal(signal.SIGTERM, _exit)
    signal.signal(signal.SIGINT, _exit)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _exit(number: int, frame: FrameType | None) -> None:
    # An exception could be swallowed if the signal arrives during a callback.
    os._exit(0)
