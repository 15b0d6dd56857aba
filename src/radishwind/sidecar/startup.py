"""What comes before the imports of a node, which take most of its start.

After a loss of power nobody is served until the imports are done.
"""

import gc
import os
import signal
from types import FrameType


def skip_unneeded_imports() -> None:
    """Leaves out of the imports what a node does not need.

    No library may read the machine's certificates as it is imported, since no
    connection of a node uses TLS; and the collector need not look through
    modules that stay anyway.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
    gc.disable()


def install_startup_signal_handlers() -> None:
    """Says what signals do before the node has handlers of its own.

    A signal to stop ends the process with 0, as nothing is in progress yet. A
    signal to reload would end it too; it is ignored, since the settings are
    read after this or looked at again within a second.
    """
    signal.signal(signal.SIGTERM, _end)
    signal.signal(signal.SIGINT, _end)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _end(number: int, frame: FrameType | None) -> None:
    # An exception could be swallowed where the signal meets a callback.
    os._exit(0)
