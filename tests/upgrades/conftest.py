import pytest

from upgrades import builds


@pytest.fixture(scope="session")
def old_checkout(tmp_path_factory):
    found = builds.extract_old(tmp_path_factory.mktemp("old"))
    if found is None:
        pytest.skip(f"commit {builds.OLD_COMMIT} is not in this clone's history")
    return found
