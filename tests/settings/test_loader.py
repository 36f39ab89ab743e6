from returns import result

from quetzalpass.results import codes
from quetzalpass.settings import loader, schema

COMPLETE = """
id: entry-1
data_centre: flx-a
roles: [gateway]
callers: {host: 127.0.0.1, port: 8080}
peers: {host: 127.0.0.1, port: 8081}
operators: {host: 127.0.0.1, port: 8082, key_file: operators.key}
cluster_key_file: cluster.key
"""


def load(folder, text):
    path = folder / "settings.yaml"
    path.write_text(text)
    return loader.load_settings(path)


def message_of(folder, text):
    outcome = load(folder, text)
    assert isinstance(outcome, result.Failure)
    failure = outcome.failure()
    assert failure.code is codes.Code.BAD_SETTINGS
    assert "\n" not in failure.message
    return failure.message


class TestLoadSettings:
    def test_complete_settings_load(self, tmp_path):
        settings = load(tmp_path, COMPLETE).unwrap()
        assert settings.roles == (schema.Role.GATEWAY,)

    def test_an_unknown_field_is_named_with_line_and_suggestion(self, tmp_path):
        message = message_of(tmp_path, COMPLETE + "data_foldr: /x\n")
        assert ":9: data_foldr: unknown field" in message
        assert "'data_folder'" in message

    def test_a_missing_field_is_named(self, tmp_path):
        text = COMPLETE.replace("data_centre: flx-a\n", "")
        assert "data_centre: the field is missing" in message_of(tmp_path, text)

    def test_a_missing_file_is_named(self, tmp_path):
        outcome = loader.load_settings(tmp_path / "none.yaml")
        assert "none.yaml" in outcome.failure().message

    def test_a_replica_needs_a_folder(self, tmp_path):
        text = COMPLETE.replace("[gateway]", "[replica]")
        assert "data_folder" in message_of(tmp_path, text)

    def test_operators_need_a_key(self, tmp_path):
        text = COMPLETE.replace(", key_file: operators.key", "")
        assert "operators.key_file" in message_of(tmp_path, text)

    def test_a_limit_must_be_above_zero(self, tmp_path):
        message = message_of(tmp_path, COMPLETE + "limits: {streams: 0}\n")
        assert "limits.streams" in message

    def test_this_vm_is_no_peer_of_itself(self, tmp_path):
        peer = "peer_vms: [{id: entry-1, data_centre: flx-a, url: 'http://x:1'}]\n"
        assert "peer_vms[0].id" in message_of(tmp_path, COMPLETE + peer)
