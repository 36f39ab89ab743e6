import pathlib

import pytest

from quetzalpass.declarations import loader, schema
from quetzalpass.settings import loader as settings_loader
from quetzalpass.settings import schema as settings_schema

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
DEPLOYMENTS = [
    ("scheldekaai", "claims-llm", 5, "ledger-app", 3),
    ("huepfwerk", "sprungmodell", 6, "buchung", 3),
]


@pytest.mark.parametrize(
    ("name", "model", "replicas", "service", "servers"), DEPLOYMENTS
)
class TestDeployments:
    def test_the_declaration_is_valid_without_warnings(
        self, name, model, replicas, service, servers
    ):
        report = loader.check_folder(EXAMPLES / name)
        assert report.problems == ()

    def test_each_deployment_has_the_expected_size(
        self, name, model, replicas, service, servers
    ):
        declaration = loader.load_folder(EXAMPLES / name).unwrap()
        engines = [server for server in declaration.servers if model in server.models]
        plain = [server for server in declaration.servers if server.service == service]
        assert (len(engines), len(plain)) == (replicas, servers)
        assert len(declaration.data_centres) == 3
        assert len(declaration.organisations) == 10
        assert schema.decode(schema.encode(declaration)) == declaration

    def test_nine_daemons_list_each_other_as_peers(
        self, name, model, replicas, service, servers
    ):
        paths = sorted((EXAMPLES / name / "settings").glob("*.yaml"))
        daemons = [settings_loader.load_settings(path).unwrap() for path in paths]
        assert len(daemons) == 9
        settings_by_id = {daemon.id: daemon for daemon in daemons}
        for daemon in daemons:
            peers = {peer.id: peer for peer in daemon.peer_vms}
            assert {*peers, daemon.id} == set(settings_by_id)
            for peer in peers.values():
                settings = settings_by_id[peer.id]
                role = settings_schema.Role.REPLICA in settings.roles
                assert peer.replica == role
                assert peer.data_centre == settings.data_centre
                listener = settings.peers
                assert peer.url == f"http://{listener.host}:{listener.port}"
