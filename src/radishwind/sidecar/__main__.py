"""Runs a node by its settings file: `python -m radishwind.sidecar`."""

from radishwind.sidecar.imports import heed_signals_until_started
from radishwind.sidecar.imports import spare_imports

heed_signals_until_started()
spare_imports()

from radishwind.sidecar.program import main  # noqa: E402

main()
