from returns import result

from quetzalpass.results import codes
from quetzalpass.settings import loader, schema

VALID_SETTINGS = """
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


def error_message(folder, text):
    outcome = load(folder, text)
    assert isinstance(outcome, result.Failure)
    failure = outcome.failure()
    assert failure.code is codes.Code.BAD_SETTINGS
    assert "\n" not in failure.message
    return failure.message


class TestLoadSettings:
    def test_valid_settings_load(self, tmp_path):
        settings = load(tmp_path, VALID_SETTINGS).unwrap()
        assert settings.roles == (schema.Role.GATEWAY,)

    def test_error_for_unknown_field_has_line_and_suggestion(self, tmp_path):
        message = error_message(tmp_path, VALID_SETTINGS + "data_foldr: /x\n")
        assert ":9: data_foldr: unknown field" in message
        assert "'data_folder'" in message

    def test_error_names_missing_field(self, tmp_path):
        text = VALID_SETTINGS.replace("data_centre: flx-a\n", "")
        assert "data_centre: the field is missing" in error_message(tmp_path, text)

    def test_error_names_missing_file(self, tmp_path):
        outcome = loader.load_settings(tmp_path / "none.yaml")
        assert "none.yaml" in outcome.failure().message

    def test_replica_needs_data_folder(self, tmp_path):
        text = VALID_SETTINGS.replace("[gateway]", "[replica]")
        assert "data_folder" in error_message(tmp_path, text)

    def test_operators_need_key_file(self, tmp_path):
        text = VALID_SETTINGS.replace(", key_file: operators.key", "")
        assert "operators.key_file" in error_message(tmp_path, text)

    def test_limit_must_be_above_zero(self, tmp_path):
        message = error_message(tmp_path, VALID_SETTINGS + "limits: {streams: 0}\n")
        assert "limits.streams" in message

    def test_this_vm_cannot_be_its_own_peer(self, tmp_path):
        peer = "peer_vms: [{id: entry-1, data_centre: flx-a, url: 'http://x:1'}]\n"
        assert "peer_vms[0].id" in error_message(tmp_path, VALID_SETTINGS + peer)
