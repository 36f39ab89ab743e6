import msgspec

import builders
from quetzalpass import ids
from quetzalpass.control import declared_state
from quetzalpass.declarations import schema


def declaration(version):
    model = schema.Model(builders.MODEL, ids.VersionName(version))
    return builders.declaration([], models=(model,))


def apply(state, index, base_revision, base, new, author="anna"):
    command = declared_state.encode_apply_command(
        ids.Revision(base_revision), base, new, author
    )
    outcome = state.apply(ids.LogIndex(index), command)
    return msgspec.msgpack.decode(outcome, type=declared_state.ApplyOutcome)


class TestApply:
    def test_of_changes_to_the_same_base_one_is_accepted(self):
        state = declared_state.DeclaredState()
        first = apply(state, 1, 0, None, declaration("1"), "anna")
        second = apply(state, 2, 0, None, declaration("2"), "ben")
        assert (first.accepted, second.accepted) == (True, False)
        assert second.author == "anna"
        assert state.current.data == schema.encode(declaration("1"))

    def test_a_delta_has_the_same_result_as_the_whole_declaration(self):
        with_declaration, with_delta = (
            declared_state.DeclaredState() for _ in range(2)
        )
        for state in (with_declaration, with_delta):
            apply(state, 1, 0, None, declaration("1"))
        apply(with_declaration, 2, 1, None, declaration("2"))
        apply(with_delta, 2, 1, declaration("1"), declaration("2"))
        assert with_delta.current == with_declaration.current

    def test_a_delta_applies_after_restoring_a_snapshot(self):
        state, restored = (declared_state.DeclaredState() for _ in range(2))
        apply(state, 1, 0, None, declaration("1"))
        restored.restore(state.snapshot())
        for each in (state, restored):
            apply(each, 2, 1, declaration("1"), declaration("2"))
        assert restored.current == state.current


def publish(state, revision, version="1", document=b"document"):
    command = declared_state.PublishCommand(
        ids.Revision(revision), schema.encode(declaration(version)), document, ""
    )
    outcome = state.apply(ids.LogIndex(1), msgspec.msgpack.encode(command))
    return msgspec.msgpack.decode(outcome, type=declared_state.PublishOutcome)


VERDICT = declared_state.PublishVerdict


class TestPublish:
    def test_the_highest_revision_wins(self):
        state = declared_state.DeclaredState()
        assert publish(state, 7).verdict is VERDICT.ACCEPTED
        assert publish(state, 3, "2").verdict is VERDICT.OVERTAKEN
        assert publish(state, 12, "3").verdict is VERDICT.ACCEPTED
        assert state.current.revision == 12
        assert state.current.data == schema.encode(declaration("3"))

    def test_publishing_the_same_content_again_is_held(self):
        state, restored = (declared_state.DeclaredState() for _ in range(2))
        publish(state, 7)
        restored.restore(state.snapshot())
        for each in (state, restored):
            assert publish(each, 7).verdict is VERDICT.HELD
            assert each.current.document == b"document"

    def test_other_content_under_the_same_revision_is_a_conflict(self):
        state = declared_state.DeclaredState()
        publish(state, 7)
        assert publish(state, 7, "2").verdict is VERDICT.CONFLICT
        assert publish(state, 7, "1", b"other").verdict is VERDICT.CONFLICT
        assert state.current.data == schema.encode(declaration("1"))
        assert state.current.document == b"document"

    def test_a_barrier_returns_the_newest_revision_and_changes_nothing(self):
        state = declared_state.DeclaredState()
        publish(state, 7)
        command = msgspec.msgpack.encode(declared_state.BarrierCommand())
        outcome = state.apply(ids.LogIndex(2), command)
        assert msgspec.msgpack.decode(outcome) == 7
        assert state.current.revision == 7
