"""`radishwind inventory`: checks, applies and shows the inventory."""

import typer

from radishwind.cli.documents import add_document
from radishwind.config.files import read_inventory


def add_to(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    add_document(app, "inventory", read_inventory)
