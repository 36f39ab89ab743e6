import openai
import pytest

from quetzalpass.standin import text

PROMPT = "a clause check [tokens=12]"
CHAT = [{"role": "user", "content": PROMPT}]
CHAT_PROMPT = f"user: {PROMPT}"


@pytest.fixture
async def clients(open_site):
    site = await open_site(gateways_count=2)
    opened = [
        openai.AsyncOpenAI(
            api_key="org", base_url=f"{site.url(number)}/v1", max_retries=0
        )
        for number in range(2)
    ]
    yield opened
    for each in opened:
        await each.close()


class TestOpenAiClient:
    @pytest.mark.parametrize("gateway", [0, 1])
    async def test_streams_chat(self, clients, gateway):
        stream = await clients[gateway].chat.completions.create(
            model="claims-llm",
            messages=CHAT,
            stream=True,
            stream_options={"include_usage": True},
        )
        parts, usage = [], None
        async for event in stream:
            usage = event.usage or usage
            parts += [each.delta.content for each in event.choices]
        assert "".join(parts) == text.expected_text(CHAT_PROMPT, 100)
        assert usage.completion_tokens == 12

    @pytest.mark.parametrize("gateway", [0, 1])
    async def test_gets_whole_answers(self, clients, gateway):
        answer = await clients[gateway].chat.completions.with_raw_response.create(
            model="claims-llm", messages=CHAT
        )
        assert answer.headers["Quetzalpass-Result"] == "0"
        assert answer.headers["Quetzalpass-Request-Id"].startswith("req-")
        assert answer.headers["Quetzalpass-Generation-Id"].startswith("gen-")
        choice = answer.parse().choices[0]
        assert choice.message.content == text.expected_text(CHAT_PROMPT, 100)
        assert choice.finish_reason == "stop"

    async def test_plain_completion(self, clients):
        answer = await clients[0].completions.create(
            model="claims-llm", prompt=PROMPT, max_tokens=5
        )
        assert answer.choices[0].text == text.expected_text(PROMPT, 5)
        assert answer.choices[0].finish_reason == "length"

    async def test_lists_models(self, clients):
        found = await clients[1].models.list()
        assert [each.id for each in found.data] == ["claims-llm"]

    async def test_error_names_code_and_advice(self, clients):
        with pytest.raises(openai.NotFoundError) as caught:
            await clients[0].completions.create(model="none", prompt="p")
        assert caught.value.body["name"] == "unknown_model"
        assert caught.value.body["execution"] == "not_run"
