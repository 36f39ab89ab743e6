"""Labels of metrics: a bounded set of names, with safe characters only."""

import re

from quetzalpass import ids
from quetzalpass.declarations import schema

MAX_ORGANISATIONS = 50
MAX_CLASSES = 16
MAX_NAME_LENGTH = 64
OTHER = "other"
UNSAFE_CHARACTERS = re.compile(r"[^A-Za-z0-9_-]")


def safe_name(text: str) -> str:
    """Return a text as one level of a metric name.

    A dot would add a level, and a colon or pipe would end the name; each unsafe
    character is replaced by an underscore.
    """
    return UNSAFE_CHARACTERS.sub("_", text[:MAX_NAME_LENGTH]) or OTHER


class Labels:
    """Labels of organisations and priority classes.

    The organisations with the largest token limits have labels of their own; all
    others share one, so that 3,000 organisations don't cause 3,000 series.

    Parameters
    ----------
    declaration : Declaration
        Declaration in force.
    max_organisations : int
        Number of organisations with labels of their own.
    """

    def __init__(
        self,
        declaration: schema.Declaration,
        max_organisations: int = MAX_ORGANISATIONS,
    ) -> None:
        by_token_limit = sorted(
            declaration.organisations,
            key=lambda organisation: (-organisation.tokens_per_s, organisation.id),
        )
        self.organisations = {
            organisation.id: safe_name(organisation.id)
            for organisation in by_token_limit[:max_organisations]
        }
        self.classes = {
            priority_class.name: safe_name(priority_class.name)
            for priority_class in declaration.classes[:MAX_CLASSES]
        }

    def organisation(self, organisation: ids.OrganisationId) -> str:
        """Return the label of an organisation."""
        return self.organisations.get(organisation, OTHER)

    def priority_class(self, class_name: ids.ClassName | None) -> str:
        """Return the label of a priority class."""
        if class_name is None:
            return OTHER
        return self.classes.get(class_name, OTHER)

    def includes(self, organisation: str, class_name: str) -> bool:
        """Return whether a series may have these labels."""
        organisations = {*self.organisations.values(), OTHER}
        classes = {*self.classes.values(), OTHER}
        return organisation in organisations and class_name in classes
