"""Prepares the process before the imports, which take most of a node's start.

After a power loss no caller is served until the imports are done.
"""

import gc
import os

from radishwind.process.early_exit import open_standard_descriptors
from radishwind.process.early_exit import STDOUT_FD
from radishwind.process.signals import ProcessSignals


def skip_unneeded_imports() -> None:
    """Disables work during the imports that a node does not need.

    Libraries do not read the machine's certificates when they are imported,
    since no connection of a node uses TLS. The garbage collector does not scan
    modules, which stay in memory anyway.
    """
    os.environ["SSL_CERT_FILE"] = os.devnull
    os.environ["SSL_CERT_DIR"] = os.devnull
    gc.disable()


def install_startup_signal_handlers() -> ProcessSignals:
    """Installs the signal handlers in force until the process has ended.

    Until the node receives them, a signal to stop ends the process with exit
    code 0, since no request is in progress yet. A signal to reload is ignored,
    since the settings are read later, or checked again within a second.
    """
    open_standard_descriptors()
    signals = ProcessSignals(STDOUT_FD)
    signals.install()
    return signals
