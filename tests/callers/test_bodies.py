import json

from hypothesis import given, settings
from hypothesis import strategies as st
from returns import result

from quetzalpass.callers import bodies
from quetzalpass.results import codes

FUZZ = settings(max_examples=300, derandomize=True, deadline=None, database=None)
NAMES = st.sampled_from(
    ("model", "prompt", "messages", "max_tokens", "stream", "stream_options", "n")
    + bodies.SAMPLING_PARAMETERS
)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(NAMES, children, max_size=3)
    ),
    max_leaves=5,
)


def check_decoding(data):
    for chat in (False, True):
        decoded = bodies.decode_body(data, chat)
        if isinstance(decoded, result.Failure):
            failure_code = decoded.failure().code
            assert failure_code in (codes.Code.BAD_JSON, codes.Code.BAD_REQUEST)
            continue
        body = decoded.unwrap()
        assert body.n == 1 and body.requested_tokens() >= 1
        assert body.chat_messages() if chat else body.prompt is not None
        parameters = bodies.sampling_parameters(data)
        assert set(parameters) <= set(bodies.SAMPLING_PARAMETERS)


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
    def test_any_object_is_accepted_or_rejected(self, fields, valid_fields):
        check_decoding(json.dumps({**fields, **valid_fields}).encode())

    @FUZZ
    @given(st.binary(max_size=30), st.integers(0, 40))
    def test_damaged_bytes_are_accepted_or_rejected(self, extra, position):
        valid_body = (
            b'{"model":"m","prompt":"\\u00e9","messages":[],"max_tokens":3,"user":1}'
        )
        check_decoding(valid_body[:position] + extra + valid_body[position:])
