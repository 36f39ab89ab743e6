"""Who votes: single decisions, and all orders of a few events in a small group."""

import collections

import pytest

from quetzalpass import ids
from quetzalpass.consensus import votes

LIMITS = votes.Limits(wanted_voters=3, lost_after_s=1.0, gone_after_s=3.0)
KIND = votes.ChangeKind


def member(name, data_centre="", *, is_voter=True, **changes):
    return votes.MemberState(
        ids.VmId(name), is_voter, ids.DataCentreId(data_centre), **changes
    )


def learner(name, data_centre="", **changes):
    return member(name, data_centre, is_voter=False, **changes)


def leader(name, data_centre=""):
    return member(name, data_centre, is_leader=True)


def silent(name, data_centre="", *, is_voter=True, silent_s=2.0):
    return member(
        name, data_centre, is_voter=is_voter, silent_s=silent_s, may_get_vote=False
    )


def changes_until_settled(members):
    """Apply all changes, and return them as texts."""
    members = {each.vm: each for each in members}
    made = []
    while change := votes.next_change(list(members.values()), LIMITS):
        made.append(f"{change.kind.value} {change.vm}")
        assert len(made) < 10, made
        apply(members, change)
    return made


def apply(members, change):
    former = members.pop(change.vm)
    if change.kind is not KIND.REMOVE:
        members[change.vm] = votes.MemberState(
            former.vm,
            change.kind is KIND.PROMOTE,
            former.data_centre,
            former.silent_s,
            former.is_leader,
            former.is_stopping,
            former.may_get_vote,
        )


class TestReplacedVoters:
    def test_no_vote_moves_while_all_voters_reply(self):
        members = [leader("a"), member("b"), member("c"), learner("d")]
        assert changes_until_settled(members) == []

    def test_a_voter_that_will_stop_hands_on_its_vote_before_it_loses_it(self):
        members = [leader("a"), member("b", is_stopping=True), member("c")]
        assert changes_until_settled(members) == []
        members.append(learner("d"))
        assert changes_until_settled(members) == ["promote d", "demote b"]

    def test_a_silent_voter_loses_its_vote_before_a_learner_gets_one(self):
        # A vote more would raise the majority while one voter can't be part of it.
        members = [leader("a"), silent("b"), member("c"), learner("d")]
        assert changes_until_settled(members) == ["demote b", "promote d"]

    def test_a_silent_voter_keeps_its_vote_while_no_learner_can_take_it(self):
        behind = learner("d", may_get_vote=False)
        members = [leader("a"), silent("b", silent_s=60.0), member("c"), behind]
        assert changes_until_settled(members) == []

    def test_a_voter_that_was_silent_for_half_a_second_keeps_its_vote(self):
        members = [leader("a"), silent("b", silent_s=0.5), member("c"), learner("d")]
        assert changes_until_settled(members) == []

    def test_of_two_silent_voters_one_goes_if_there_is_one_learner(self):
        limits = votes.Limits(5, 1.0, 3.0)
        members = [leader("a"), silent("b"), silent("c", silent_s=2.5)]
        members += [member("d"), member("e"), learner("f")]
        change = votes.next_change(members, limits)
        assert (change.kind, change.vm) == (KIND.DEMOTE, "c")

    def test_two_voters_that_will_stop_get_a_learner_each(self):
        members = [leader("a"), learner("d"), learner("e")]
        members += [member(each, is_stopping=True) for each in ("b", "c")]
        made = changes_until_settled(members)
        assert made == ["promote d", "demote b", "promote e", "demote c"]

    def test_a_learner_that_will_stop_gets_no_vote(self):
        members = [leader("a"), silent("b"), member("c")]
        members.append(learner("d", is_stopping=True))
        assert changes_until_settled(members) == []

    def test_a_learner_that_is_gone_is_removed(self):
        gone = silent("d", is_voter=False, silent_s=3.5)
        members = [leader("a"), member("b"), member("c"), gone]
        assert changes_until_settled(members) == ["remove d"]


class TestSpread:
    def test_the_learner_of_the_lost_data_centre_is_preferred(self):
        members = [leader("a1", "a"), member("b1", "b"), silent("c1", "c")]
        members += [learner("a2", "a"), learner("c2", "c")]
        assert changes_until_settled(members) == ["demote c1", "promote c2"]

    def test_a_voter_that_is_back_gets_its_vote_from_a_crowded_data_centre(self):
        members = [leader("a1", "a"), member("a2", "a"), member("b1", "b")]
        members.append(learner("c1", "c"))
        assert changes_until_settled(members) == ["promote c1", "demote a2"]

    def test_a_leader_keeps_its_vote_in_a_crowded_data_centre(self):
        members = [leader("a2", "a"), member("a1", "a"), member("b1", "b")]
        members.append(learner("c1", "c"))
        assert changes_until_settled(members) == ["promote c1", "demote a1"]

    @pytest.mark.parametrize("silent_s", [1.1, 1.6, 2.9])
    def test_a_short_silence_moves_no_second_vote_into_a_data_centre(self, silent_s):
        """It could be cut off just then, with two of three votes (review/8)."""
        members = [
            leader("a", "flx-a"),
            silent("b", "flx-b", silent_s=silent_s),
            member("c", "flx-c"),
            learner("a2", "flx-a"),
            learner("c2", "flx-c"),
        ]
        assert votes.next_change(members, LIMITS) is None

    def test_a_long_silence_moves_a_second_vote_into_a_data_centre(self):
        members = [
            leader("a", "flx-a"),
            silent("b", "flx-b", silent_s=3.1),
            member("c", "flx-c"),
            learner("a2", "flx-a"),
        ]
        change = votes.next_change(members, LIMITS)
        assert (change.kind, change.vm) == (votes.ChangeKind.DEMOTE, "b")

    @pytest.mark.parametrize("data_centre", ["flx-b", "flx-d", ""])
    def test_a_short_silence_moves_a_vote_that_crowds_nothing(self, data_centre):
        members = [
            leader("a", "flx-a"),
            silent("b", "flx-b", silent_s=1.1),
            member("c", "flx-c"),
            learner("b2", data_centre),
        ]
        change = votes.next_change(members, LIMITS)
        assert (change.kind, change.vm) == (votes.ChangeKind.DEMOTE, "b")

    def test_votes_stay_where_a_move_gains_nothing(self):
        members = [leader("a1", "a"), member("a2", "a"), member("b1", "b")]
        members.append(learner("b2", "b"))
        assert changes_until_settled(members) == []

    def test_votes_stay_while_a_data_centre_is_unknown(self):
        members = [leader("a1", "a"), member("a2", "a"), member("b1")]
        members.append(learner("c1", "c"))
        assert changes_until_settled(members) == []

    def test_voters_of_a_larger_group_come_from_all_data_centres(self):
        limits = votes.Limits(5, 1.0, 3.0)
        members = {each.vm: each for each in [leader("a1", "a")]}
        for name in ("a2", "a3", "b1", "b2", "c1", "c2", "d1"):
            members[name] = learner(name, name[0])
        while change := votes.next_change(list(members.values()), limits):
            apply(members, change)
        counts = votes.count_by_data_centre(
            each for each in members.values() if each.is_voter
        )
        assert sorted(counts.values()) == [1, 1, 1, 2]


# A machine of the model: its data centre, how it is, and its part in the group.
Machine = collections.namedtuple("Machine", "data_centre condition part")
UP, QUIET, SILENT, GONE = "up", "quiet", "silent", "gone"
VOTER, LEARNER = "voter", "learner"
SILENT_S = {UP: 0.0, QUIET: 0.5, SILENT: 2.0, GONE: 2.0}
# Data centres of the three first machines and of those that are added.
CENTRES = {"a1": "a", "b1": "b", "c1": "c", "a2": "a", "c2": "c"}
FIRST = ("a1", "b1", "c1")


class Model:
    """All orders of events in one group that bears the loss of one machine.

    A state is a set of machines, the leader and the machine that is to stop. The next
    machine may be lost once all others run and no change of votes is due. A machine
    that got its stop may end for good once its vote was handed on, or, without a
    learner, as the loss of one machine.
    """

    def __init__(self):
        self.seen = set()
        self.waiting = collections.deque()

    def explore(self, events):
        """Visit all states that some events, in any order, lead to."""
        machines = {each: Machine(CENTRES[each], UP, VOTER) for each in FIRST}
        self.add(machines, "a1", None, events)
        while self.waiting:
            machines, leader_name, stopping, left = self.waiting.popleft()
            machines = dict(machines)
            self.check(machines, leader_name, stopping)
            self.add_changes(machines, leader_name, stopping, left)
            self.add_conditions(machines, leader_name, stopping, left)
            self.add_events(machines, leader_name, stopping, left)

    def add(self, machines, leader_name, stopping, left):
        state = (tuple(sorted(machines.items())), leader_name, stopping, left)
        if state not in self.seen:
            self.seen.add(state)
            self.waiting.append(state)

    def members(self, machines, leader_name, stopping):
        return [
            votes.MemberState(
                ids.VmId(name),
                machine.part == VOTER,
                ids.DataCentreId(machine.data_centre),
                SILENT_S[machine.condition],
                name == leader_name,
                name == stopping,
                machine.condition == UP,
            )
            for name, machine in sorted(machines.items())
        ]

    def check(self, machines, leader_name, stopping):
        """Check that the voters that run are a majority, and how they are spread."""
        voters = [each for each in machines.values() if each.part == VOTER]
        running = [each for each in voters if each.condition == UP]
        assert len(running) > len(voters) / 2, machines
        assert machines[leader_name] in running, machines
        if stopping is not None or not self.is_calm(machines, leader_name, None):
            return
        up = [each for each in machines.values() if each.condition == UP]
        if len({each.data_centre for each in up}) == len(set(CENTRES.values())):
            most = max(
                collections.Counter(each.data_centre for each in voters).values()
            )
            assert most < len(voters) / 2, machines

    def is_calm(self, machines, leader_name, stopping):
        """Return whether all machines run and no vote has to move."""
        is_up = all(each.condition == UP for each in machines.values())
        members = self.members(machines, leader_name, stopping)
        return is_up and votes.next_change(members, LIMITS) is None

    def add_changes(self, machines, leader_name, stopping, left):
        members = self.members(machines, leader_name, stopping)
        change = votes.next_change(members, LIMITS)
        if change is None:
            return
        changed = dict(machines)
        machine = changed.pop(change.vm)
        if change.kind is not KIND.REMOVE:
            part = VOTER if change.kind is KIND.PROMOTE else LEARNER
            changed[change.vm] = machine._replace(part=part)
        self.add(changed, leader_name, stopping, left)

    def add_conditions(self, machines, leader_name, stopping, left):
        """Let machines become silent, come back, or be removed from the members."""
        for name, machine in machines.items():
            if machine.condition == QUIET:
                changed = {**machines, name: machine._replace(condition=SILENT)}
                self.add(changed, leader_name, stopping, left)
            if machine.condition in (QUIET, SILENT):
                changed = {**machines, name: machine._replace(condition=UP)}
                self.add(changed, leader_name, stopping, left)
            if machine.condition == GONE and machine.part == LEARNER:
                others = {each: machines[each] for each in machines if each != name}
                self.add(others, leader_name, stopping, left)

    def add_events(self, machines, leader_name, stopping, left):
        calm = self.is_calm(machines, leader_name, stopping)
        for event in set(left):
            rest = list(left)
            rest.remove(event)
            rest = tuple(rest)
            kind, _, name = event.partition(" ")
            if kind == "add" and name not in machines:
                changed = {**machines, name: Machine(CENTRES[name], UP, LEARNER)}
                self.add(changed, leader_name, stopping, rest)
            if kind == "stop" and stopping is None and calm:
                # A leader transfers its leadership first.
                for each in set(machines) - {leader_name}:
                    self.add(machines, leader_name, each, rest)
            if kind == "lead":
                for each, machine in machines.items():
                    if machine.part == VOTER and machine.condition == UP:
                        self.add(machines, each, stopping, rest)
            if kind in ("freeze", "remove", "wipe") and stopping is None and calm:
                self.lose(kind, machines, leader_name, rest)
        if stopping is not None:
            self.end_stopped(machines, leader_name, stopping, left)

    def lose(self, kind, machines, leader_name, rest):
        """Freeze a machine, remove it for good without a stop, or empty its disk."""
        for name, machine in machines.items():
            lost = {
                "freeze": machine._replace(condition=QUIET),
                "remove": machine._replace(condition=GONE),
                "wipe": machine._replace(part=LEARNER),
            }[kind]
            is_last = kind == "remove" and len(machines) == len(FIRST)
            if is_last:
                continue
            self.with_leader({**machines, name: lost}, leader_name, rest)

    def end_stopped(self, machines, leader_name, stopping, left):
        """End a machine for good once its vote was handed on, or back again."""
        others = [each for name, each in machines.items() if name != stopping]
        is_up = all(each.condition == UP for each in others)
        if machines[stopping].part == LEARNER and is_up:
            rest = {name: machines[name] for name in machines if name != stopping}
            self.add(rest, leader_name, None, left)
        self.add(machines, leader_name, None, left)

    def with_leader(self, machines, leader_name, left):
        """Continue with the leader, or with each possible one if it is lost."""
        for name in [leader_name, *machines]:
            machine = machines[name]
            if machine.part == VOTER and machine.condition == UP:
                self.add(machines, name, None, left)
                if name == leader_name:
                    return


class TestAllOrders:
    @pytest.mark.parametrize(
        "events",
        [
            ("add a2", "freeze", "wipe", "lead"),
            ("add a2", "stop", "wipe", "freeze"),
            ("add a2", "add c2", "stop", "wipe", "lead"),
            ("add a2", "add c2", "freeze", "freeze", "wipe"),
            ("add a2", "add c2", "remove", "wipe", "freeze"),
            ("add c2", "stop", "remove", "wipe"),
            ("add a2", "add c2", "stop", "stop", "wipe"),
            ("add a2", "add c2", "remove", "remove", "lead"),
        ],
        ids="-".join,
    )
    def test_a_majority_runs_and_no_data_centre_has_it(self, events):
        model = Model()
        model.explore(tuple(sorted(events)))
        assert len(model.seen) > 30
