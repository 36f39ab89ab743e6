"""How a group forms, and how a disk that is no member becomes one."""

import asyncio

import logbook
from returns import result

from quetzalpass import ids
from quetzalpass.consensus import entries, leading, messages
from quetzalpass.consensus import replica as replicas

FIRST_TERM = ids.Term(1)

log = logbook.Logger("consensus")


class Joining:
    """Asks the peers as long as this disk is no member of the group.

    A blank disk can't tell a group's first start from a lost disk. So one VM alone,
    the first by name, may form the group, and only when every initial member says
    that it is blank too; one member that is not is enough to wait as a learner.

    Parameters
    ----------
    replica : replicas.Replica
        The replica.
    """

    def __init__(self, replica: replicas.Replica) -> None:
        self.replica = replica
        self.seeds = replica.settings.initial_members

    async def run(self) -> None:
        """Ask until this disk is a member, and again should it no longer be one."""
        replica = self.replica
        while replica.is_running:
            if self.may_be_outside():
                await self.ask_all()
            await asyncio.sleep(replica.settings.timing.join_interval_s)

    def may_be_outside(self) -> bool:
        """Return whether this disk is no member, or may have lost its place.

        A member that was cut off or frozen for long may have been replaced; its own log
        does not say so, and no leader sends it anything more.
        """
        replica = self.replica
        if not replica.log.configuration.has_replica(replica.replica_id):
            return True
        rules = replica.settings.rules
        if not rules.is_open or replica.role is replicas.Role.LEADER:
            return False
        return replica.now() - replica.leader_contact_at > rules.gone_after_s

    async def ask_all(self) -> None:
        """Tell all peers of this disk, and form the group if all are blank."""
        replica = self.replica
        known = [member.vm for member in replica.log.configuration.members]
        vms = sorted({*self.seeds, *known})
        others = [vm for vm in vms if vm != replica.settings.vm]
        answers = await asyncio.gather(*[self.ask(vm) for vm in others])
        if not replica.is_running or not replica.log.is_blank:
            return
        if not replica.settings.rules.may_form:
            return
        if replica.settings.vm != min(replica.settings.initial_members):
            return
        if all(answer is not None and answer.is_blank for answer in answers):
            members = [entries.Member(replica.settings.vm, replica.replica_id, True)]
            for vm, answer in zip(others, answers, strict=True):
                members.append(entries.Member(vm, answer.replica, True))
            await self.form(entries.Configuration(members))

    async def ask(self, vm: ids.VmId) -> messages.StatusReply | None:
        """Ask one VM for its status."""
        replica = self.replica
        request = messages.StatusRequest(
            replica.settings.group, replica.settings.vm, replica.replica_id
        )
        timeout_s = replica.settings.timing.call_timeout_s
        outcome = await replica.transport.call(vm, request, timeout_s)
        if isinstance(outcome, result.Failure):
            return None
        return outcome.unwrap()

    async def form(self, configuration: entries.Configuration) -> None:
        """Write the first entry, which names the initial members."""
        replica = self.replica
        replica.log.set_hard_state(FIRST_TERM)
        data = entries.encode_configuration(configuration)
        kind = entries.EntryKind.CONFIGURATION
        entry = entries.Entry(ids.LogIndex(1), FIRST_TERM, kind, data=data)
        replica.log.append(entry)
        if await replica.persist():
            names = ", ".join(member.vm for member in configuration.members)
            log.info("consensus: formed group {}: {}.", replica.settings.group, names)

    async def answer(self, request: messages.StatusRequest) -> messages.StatusReply:
        """Say who this replica is; a leader takes a new disk in."""
        replica = self.replica
        replica.seen_replicas[request.vm] = request.replica
        configuration = replica.log.configuration
        if replica.leadership is not None and not configuration.has_replica(
            request.replica
        ):
            replica.spawn(self.take_in(request))
        return messages.StatusReply(
            replica.replica_id, replica.log.is_blank, replica.term, replica.leader
        )

    async def take_in(self, request: messages.StatusRequest) -> None:
        """Make a new disk a learner, after asking its VM whether it is still there.

        The request may be late, and from a disk that has been replaced since.
        """
        if self.replica.log.configuration.member_at(request.vm) is None:
            self.note_candidate(request)
            return
        status = await self.ask(request.vm)
        leadership = self.replica.leadership
        if status is None or status.replica != request.replica:
            return
        if isinstance(leadership, leading.Leadership):
            leadership.replace(request.vm, request.replica)

    def note_candidate(self, request: messages.StatusRequest) -> None:
        """Remember a disk at an unknown address, if the group is open to it."""
        if self.replica.settings.rules.is_open:
            heard_at = self.replica.now()
            candidate = replicas.Candidate(request.replica, heard_at)
            self.replica.candidates[request.vm] = candidate
