"""Names in metrics: a bounded set, and only characters that are safe there."""

import re

from quetzalpass import ids
from quetzalpass.declarations import schema

MAX_ORGANISATIONS = 50
MAX_CLASSES = 16
MAX_NAME_LENGTH = 64
OTHER = "other"
UNSAFE = re.compile(r"[^A-Za-z0-9_-]")


def safe_name(text: str) -> str:
    """Return a text as one part of a metric name.

    Dots would add a level, colons and pipes would end the name; each such character
    becomes an underscore.
    """
    return UNSAFE.sub("_", text[:MAX_NAME_LENGTH]) or OTHER


class Labels:
    """Names of organisations and classes in metrics.

    The organisations with the largest limits on tokens have a name of their own; all
    others share one, so that 3,000 organisations don't make 3,000 series.

    Parameters
    ----------
    declaration : Declaration
        The declared state.
    max_organisations : int
        Organisations with a name of their own.
    """

    def __init__(
        self,
        declaration: schema.Declaration,
        max_organisations: int = MAX_ORGANISATIONS,
    ) -> None:
        largest = sorted(
            declaration.organisations,
            key=lambda organisation: (-organisation.tokens_per_s, organisation.id),
        )
        self.organisations = {
            organisation.id: safe_name(organisation.id)
            for organisation in largest[:max_organisations]
        }
        self.classes = {
            priority_class.name: safe_name(priority_class.name)
            for priority_class in declaration.classes[:MAX_CLASSES]
        }

    def organisation(self, organisation: ids.OrganisationId) -> str:
        """Return the name of an organisation."""
        return self.organisations.get(organisation, OTHER)

    def priority_class(self, class_name: ids.ClassName | None) -> str:
        """Return the name of a class."""
        if class_name is None:
            return OTHER
        return self.classes.get(class_name, OTHER)

    def holds(self, organisation: str, class_name: str) -> bool:
        """Return whether a series may have these names."""
        organisations = {*self.organisations.values(), OTHER}
        classes = {*self.classes.values(), OTHER}
        return organisation in organisations and class_name in classes
