import json

from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from quetzalpass.callers import bodies
from quetzalpass.results import codes

FUZZ = settings(max_examples=300, derandomize=True, deadline=None, database=None)
NAMES = st.sampled_from(
    ("model", "prompt", "messages", "max_tokens", "stream", "stream_options", "n")
    + bodies.PASSED_PARAMETERS
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=3)
    ),
    max_leaves=5,
)


def check(data):
    for chat in (False, True):
        decoded = bodies.decode_body(data, chat)
        if isinstance(decoded, result.Failure):
            found = decoded.failure().code
            assert found in (codes.Code.BAD_JSON, codes.Code.BAD_REQUEST)
            continue
        body = decoded.unwrap()
        assert body.n == 1 and body.wanted_tokens() >= 1
        assert body.chat_messages() if chat else body.prompt is not None
        passed = bodies.passed_parameters(data)
        assert set(passed) <= set(bodies.PASSED_PARAMETERS)


class TestBodies:
    @FUZZ
    @given(
        st.dictionaries(NAMES, VALUES),
        st.fixed_dictionaries(
            {},
            optional={
                "model": st.just("m"),
                "prompt": st.text(max_size=9),
                "max_tokens": st.integers(-2, 5),
                "messages": st.just([{"role": "user", "content": "c"}]),
            },
        ),
    )
    def test_any_object_is_taken_or_refused(self, fields, usual):
        check(json.dumps({**fields, **usual}).encode())

    @FUZZ
    @given(st.binary(max_size=30), st.integers(0, 40))
    def test_damaged_bytes_are_taken_or_refused(self, extra, position):
        good = b'{"model":"m","prompt":"\\u00e9","messages":[],"max_tokens":3,"user":1}'
        check(good[:position] + extra + good[position:])
