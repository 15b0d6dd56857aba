"""What comes before the imports of a node, which take most of its start.

After a loss of power nobody is served until the imports are done.
"""

import gc
import mimetypes
import os
import signal
from types import FrameType


def spare_imports() -> None:
    """Leaves out of the imports what a node does not need.

    The HTTP library reads all certificates of the machine as it is imported,
    though no connection of a node uses TLS, and the collector looks through
    modules that stay anyway. Without both, and without the `site` module
    (`-S` in `deploy/system.toml`), the imports take 0.43 s of processor time
    instead of 0.61 s, in the mean of five runs on the machine of the tests.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
    # The HTTP library reads the machine's lists of file types, for files that
    # no node serves.
    mimetypes.knownfiles.clear()
    gc.disable()


def heed_signals_until_started() -> None:
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
