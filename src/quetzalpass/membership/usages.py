"""What organisations use on one gateway, as it is told to the others."""

import msgspec

from quetzalpass import ids


class Usage(msgspec.Struct, frozen=True):
    """What is asked of one gateway by one organisation, refused work included."""

    organisation: ids.OrganisationId
    requests_per_s: float
    streams: float
    tokens_per_s: float


class UsageReport(msgspec.Struct, frozen=True):
    """Message between gateways of a data centre.

    It states the whole, so that a lost message is repaired by the next.
    """

    vm: ids.VmId
    sequence: int
    usages: tuple[Usage, ...]
