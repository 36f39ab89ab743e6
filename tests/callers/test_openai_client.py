import openai
import pytest

from quetzalpass.standin import text

PROMPT = "a clause check [tokens=12]"
CHAT = [{"role": "user", "content": PROMPT}]
CHAT_PROMPT = f"user: {PROMPT}"


@pytest.fixture
async def clients(start_frontend):
    frontend = await start_frontend(gateways_count=2)
    opened = [
        openai.AsyncOpenAI(
            api_key="org", base_url=f"{frontend.url(index)}/v1", max_retries=0
        )
        for index in range(2)
    ]
    yield opened
    for each in opened:
        await each.close()


class TestOpenAiClient:
    @pytest.mark.parametrize("gateway", [0, 1])
    async def test_streamed_chat_completion(self, clients, gateway):
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
    async def test_chat_completion_without_streaming(self, clients, gateway):
        response = await clients[gateway].chat.completions.with_raw_response.create(
            model="claims-llm", messages=CHAT
        )
        assert response.headers["Quetzalpass-Result"] == "0"
        assert response.headers["Quetzalpass-Request-Id"].startswith("req-")
        assert response.headers["Quetzalpass-Generation-Id"].startswith("gen-")
        choice = response.parse().choices[0]
        assert choice.message.content == text.expected_text(CHAT_PROMPT, 100)
        assert choice.finish_reason == "stop"

    async def test_text_completion(self, clients):
        response = await clients[0].completions.create(
            model="claims-llm", prompt=PROMPT, max_tokens=5
        )
        assert response.choices[0].text == text.expected_text(PROMPT, 5)
        assert response.choices[0].finish_reason == "length"

    async def test_list_of_models(self, clients):
        listed = await clients[1].models.list()
        assert [each.id for each in listed.data] == ["claims-llm"]

    async def test_error_has_code_name_and_execution(self, clients):
        with pytest.raises(openai.NotFoundError) as caught:
            await clients[0].completions.create(model="none", prompt="p")
        assert caught.value.body["name"] == "unknown_model"
        assert caught.value.body["execution"] == "not_run"
