import multidict
import pytest

from fleet_adapter import headers
from quetzalpass.backends import base, relays


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


class TestBodyEnd:
    def response(self, status=200, method="GET", **fields):
        response = FakeResponse()
        response.status = status
        response.method = method
        for name, value in fields.items():
            response.headers[name.replace("_", "-")] = value
        return response

    def test_length_or_chunks_end_the_body(self):
        framed = self.response(Content_Length="3")
        assert headers.body_end(framed) is relays.BodyEnd.LENGTH
        chunked = self.response(Transfer_Encoding="chunked")
        assert headers.body_end(chunked) is relays.BodyEnd.CHUNKS

    def test_without_framing_the_connection_ends_the_body(self):
        assert headers.body_end(self.response()) is relays.BodyEnd.CLOSE

    @pytest.mark.parametrize(
        ("status", "method"), [(204, "GET"), (304, "GET"), (200, "HEAD")]
    )
    def test_response_that_has_no_body_needs_no_framing(self, status, method):
        response = self.response(status, method)
        assert headers.body_end(response) is relays.BodyEnd.LENGTH


class TestServerNotice:
    @pytest.mark.parametrize(
        ("values", "expected"),
        [
            ([], None),
            (["5"], 5.0),
            (["0"], 0.0),
            (["2.5"], 2.5),
            (["many"], None),
            (["-1"], None),
            (["5", "6"], None),
        ],
    )
    def test_brittleness_is_a_number_of_refusals_a_second(self, values, expected):
        response = NoticeResponse(200, [("Server-Brittle", each) for each in values])
        assert headers.server_notice(response).max_refusals_per_s == expected

    @pytest.mark.parametrize(
        ("value", "expected"),
        [("1", True), (" 1 ", True), ("0", False), ("yes", False), ("", False)],
    )
    def test_replica_says_that_it_leaves(self, value, expected):
        response = NoticeResponse(200, [("server-leaving", value)])
        assert headers.server_notice(response).is_leaving is expected

    @pytest.mark.parametrize(
        ("status", "value", "expected"),
        [
            (503, "3", 3.0),
            (503, "0.25", 0.25),
            (429, "3", 3.0),
            (503, "0", 0.0),
            (503, "soon", 0.0),
            (503, "-3", 0.0),
            (503, "1e400", 0.0),
            (503, "Fri, 31 Dec 2027 23:59:59 GMT", 0.0),
            (200, "3", 0.0),
            (500, "3", 0.0),
        ],
    )
    def test_refusal_may_ask_for_rest(self, status, value, expected):
        response = NoticeResponse(status, [("Retry-After", value)])
        assert headers.server_notice(response).rest_s == expected

    @pytest.mark.parametrize("value", ["inf", "nan", "1e400", "x" * 5_000])
    def test_retry_time_that_is_no_number_is_none(self, value):
        response = NoticeResponse(503, [("Retry-After", value)])
        assert headers.retry_after_ms(response) is None


class NoticeResponse:
    """A response with nothing but headers."""

    def __init__(self, status, pairs):
        self.status = status
        self.headers = multidict.CIMultiDict(pairs)
