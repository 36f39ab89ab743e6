import msgspec

import builders
from quetzalpass import ids
from quetzalpass.membership import platform_list, server_views
from quetzalpass.routing import servers


def states_by_id(views):
    return {each.server_id: each.state for each in views}


class TestPlatformList:
    def test_either_source_is_enough_to_stop_new_work(self):
        engines = [builders.engine(name) for name in ("a", "b", "c")]
        config = builders.create_configuration(builders.declaration(engines, ("vm-a",)))
        views = server_views.make_views(config, frozenset({ids.VmId("vm-b")}))
        assert states_by_id(views) == {
            "a": servers.ServerState.LEAVING,
            "b": servers.ServerState.LEAVING,
            "c": servers.ServerState.ACTIVE,
        }

    def test_a_leaving_engine_that_loads_is_leaving(self):
        config = builders.create_configuration(
            builders.declaration([builders.engine("a")], ("vm-a",))
        )
        views = server_views.make_views(config, loading=frozenset({ids.ServerId("a")}))
        assert states_by_id(views) == {"a": servers.ServerState.LEAVING}

    def test_an_unchanged_list_causes_no_notification(self):
        notified = []
        listed = platform_list.PlatformList(
            "http://127.0.0.1:1", lambda: notified.append(1)
        )
        row = platform_list.PlatformVm(
            ids.VmId("vm-a"), platform_list.PlatformState.LEAVING
        )
        listed.apply_rows((row,))
        listed.apply_rows((row,))
        assert len(notified) == 1
        assert set(listed.leaving) == {"vm-a"}

    def test_an_odd_row_leaves_the_others(self):
        listed = platform_list.PlatformList("http://127.0.0.1:1", lambda: None)
        deep = b"[" * 900 + b"]" * 900
        rows = (
            b'{"id": "vm-a", "state": "leaving"}',
            b'{"id": 5, "state": "leaving"}',
            b'{"id": "vm-x", "state": "odd"}',
            b'{"id": "vm-y", "state": "leaving", "deadline": %s}' % deep,
            b'{"id": "vm-b", "state": "gone"}',
        )
        listed.apply_rows(listed.decode_rows(tuple(map(msgspec.Raw, rows))))
        assert set(listed.leaving) == {"vm-a", "vm-b"}
