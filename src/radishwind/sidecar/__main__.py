"""Runs a node on the platform: `python -m radishwind.sidecar`."""

from radishwind.sidecar.startup import install_startup_signal_handlers
from radishwind.sidecar.startup import skip_unneeded_imports

signals = install_startup_signal_handlers()
skip_unneeded_imports()

from radishwind.sidecar.program import main  # noqa: E402

main(signals)
