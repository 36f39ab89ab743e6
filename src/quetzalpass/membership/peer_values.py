"""Checks of the figures that peers report about servers.

Some of them come from servers and callers, and a peer of an earlier version passes them
on as it has read them. A report is one message about many servers, so that figures that
can't be right are left out one by one.
"""

from collections.abc import Callable, Iterable
from typing import TypeVar

import logbook
import msgspec

from quetzalpass import odd_values, ranges
from quetzalpass.backends import discovery
from quetzalpass.membership import fleet_messages
from quetzalpass.routing import brittle_services, peer_gateways, rate_limits

LOG = logbook.Logger("membership")

Item = TypeVar("Item", bound=msgspec.Struct)


def is_age(age_s: float | None) -> bool:
    """Return whether a time may have passed since something that is still reported."""
    return age_s is None or 0.0 <= age_s <= ranges.MAX_DURATION_S


def is_sound_use(use: fleet_messages.ServerUse) -> bool:
    """Return whether one or more gateways can have so much work on a server."""
    figures = (use.requests, use.tokens, use.copy_tokens, use.prefill_tokens)
    return all(abs(each) <= ranges.MAX_INTEGER for each in figures)


def is_sound_limit(limit: rate_limits.LimitReport) -> bool:
    """Return whether a server can have named a limit."""
    is_rate = 0.0 < limit.per_s <= ranges.MAX_RATE_PER_S
    return is_rate and is_age(limit.named_age_s) and is_age(limit.unnamed_age_s)


def is_sound_brittleness(report: brittle_services.BrittleReport) -> bool:
    """Return whether the servers of a service can have said that they are brittle."""
    is_rate = 0.0 <= report.max_refusals_per_s <= ranges.MAX_RATE_PER_S
    ages = (report.said_age_s, report.unsaid_age_s, report.since_age_s)
    return is_rate and all(is_age(each) for each in ages)


def is_sound_gateway(gateway: peer_gateways.PeerGateway) -> bool:
    """Return whether requests can be handed over to a gateway."""
    has_address = ranges.address_problem(gateway.vm) is None
    return has_address and abs(gateway.running) <= ranges.MAX_INTEGER


class PeerValues:
    """Leaves out of the messages of peers what can't be right.

    Attributes
    ----------
    odd_values : odd_values.OddValues
        Logs and counts what is left out.
    """

    def __init__(self) -> None:
        self.odd_values = odd_values.OddValues(LOG)

    def keep(
        self, what: str, items: Iterable[Item], is_sound: Callable[[Item], bool]
    ) -> tuple[Item, ...]:
        """Return the sound items of a report."""
        sound = []
        for item in items:
            if is_sound(item):
                sound.append(item)
            else:
                self.odd_values.record(f"{what} of a peer", repr(item), "out of range")
        return tuple(sound)

    def usable_servers(
        self, servers: tuple[discovery.DiscoveredServer, ...]
    ) -> tuple[discovery.DiscoveredServer, ...]:
        """Return the servers that can be used."""
        usable = []
        for server in servers:
            problem = discovery.find_problem(server)
            if problem is None:
                usable.append(server)
            else:
                self.odd_values.record("a server of a peer", repr(server), problem)
        return tuple(usable)

    def check_reply(
        self, reply: fleet_messages.FleetReply
    ) -> fleet_messages.FleetReply:
        """Return a control node's reply without what can't be right."""
        servers = reply.servers
        return msgspec.structs.replace(
            reply,
            servers=None if servers is None else self.usable_servers(servers),
            uses=self.keep("work", reply.uses, is_sound_use),
            limits=self.keep("a limit", reply.limits, is_sound_limit),
            brittle=self.keep("a limit", reply.brittle, is_sound_brittleness),
            peers=self.keep("a gateway", reply.peers, is_sound_gateway),
        )

    def check_request(
        self, request: fleet_messages.FleetRequest
    ) -> fleet_messages.FleetRequest:
        """Return a gateway's report without what can't be right."""
        peer = request.peer
        return msgspec.structs.replace(
            request,
            uses=self.keep("work", request.uses, is_sound_use),
            limits=self.keep("a limit", request.limits, is_sound_limit),
            brittle=self.keep("a limit", request.brittle, is_sound_brittleness),
            peer=peer if peer is not None and is_sound_gateway(peer) else None,
        )
