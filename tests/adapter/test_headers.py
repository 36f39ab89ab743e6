import multidict
import pytest

from fleet_adapter import headers
from quetzalpass.backends import base


def shared_parts(*values):
    fields = multidict.CIMultiDict((headers.PROMPT_PREFIX, each) for each in values)
    return headers.shared_prompt_parts(multidict.CIMultiDictProxy(fields))


class TestSharedPromptParts:
    def test_all_parts_but_the_last_are_shared(self):
        assert shared_parts("5c1e:800,91bd:410,e440:250") == ("5c1e", "91bd")

    def test_spaces_and_letter_case_are_ignored(self):
        assert shared_parts(" 5C1E:800 , 91bd:410") == ("5c1e",)

    def test_several_header_lines_are_one_list(self):
        assert shared_parts("5c1e:800", "91bd:410,e440:250") == ("5c1e", "91bd")

    def test_single_part_or_no_header_has_none(self):
        assert shared_parts("5c1e:800") == ()
        assert shared_parts() == ()
        assert shared_parts("") == ()


class FakeResponse:
    def __init__(self, *limits):
        self.headers = multidict.CIMultiDict(
            (headers.SERVER_LIMIT, each) for each in limits
        )


class TestRateNotice:
    def test_response_without_the_header_names_no_limit(self):
        assert headers.rate_notice(FakeResponse()) == base.RateNotice()

    @pytest.mark.parametrize(
        ("text", "per_s"), [("2", 2.0), ("1.5", 1.5), (".2", 0.2), (" 1000 ", 1000.0)]
    )
    def test_decimal_number_is_the_limit(self, text, per_s):
        assert headers.rate_notice(FakeResponse(text)) == base.RateNotice(per_s)

    @pytest.mark.parametrize(
        "text", ["", "0", "0.0", "-1", "nan", "inf", "1e400", "two", "2;3", "1_0"]
    )
    def test_anything_else_is_no_information(self, text):
        assert headers.rate_notice(FakeResponse(text)) is None

    def test_two_limits_are_no_information(self):
        assert headers.rate_notice(FakeResponse("2", "3")) is None
