"""Usage by organisations on one gateway, as reported to the other gateways."""

import msgspec

from quetzalpass import ids


class Usage(msgspec.Struct, frozen=True):
    """Demand of one organisation on one gateway, including refused work."""

    organisation: ids.OrganisationId
    requests_per_s: float
    streams: float
    tokens_per_s: float


class UsageReport(msgspec.Struct, frozen=True):
    """Usage of all organisations on one gateway, sent within a data centre.

    Each report is complete, so that the next one makes up for a lost one.
    """

    vm: ids.VmId
    sequence: int
    usages: tuple[Usage, ...]
