import pytest

from quetzalpass.daemon import keys
from quetzalpass.results import codes, failures


class TestKeyFiles:
    def test_an_empty_key_file_is_refused(self, tmp_path):
        path = tmp_path / "key"
        path.write_text(" \n")
        with pytest.raises(failures.FailureError) as raised:
            keys.read_key(str(path))
        assert raised.value.failure.code is codes.Code.BAD_SETTINGS

    def test_white_space_around_a_key_is_stripped(self, tmp_path):
        path = tmp_path / "key"
        path.write_text("secret\n")
        assert keys.read_key(str(path)) == "secret"
