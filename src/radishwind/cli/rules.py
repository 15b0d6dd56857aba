"""`radishwind rules`: checks, applies and shows the rules of the inventory."""

import typer

from radishwind.cli.documents import add_document
from radishwind.config.files import read_rules


def add_to(app: typer.Typer) -> None:
    """Adds the commands to `app`."""
    add_document(app, "rules", read_rules)
