"""`radishwind rules`: the rules that operators add to the inventory."""

import typer

from radishwind.cli.documents import add_document
from radishwind.config.files import read_rules


def add_to(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    add_document(app, "rules", read_rules)
