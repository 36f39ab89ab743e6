"""A caller that records the responses that it receives."""

import json

import aiohttp

from quetzalpass.bench import local_cluster
from quetzalpass.standin import text


class ReceivedResponse:
    def __init__(self):
        self.status = 0
        self.code = ""
        self.text = ""
        self.tokens = 0
        self.done = False
        self.error = {}
        self.last_event = ""
        self.events = 0
        self.body = b""

    def parse_line(self, line):
        if line.startswith("id: "):
            self.last_event = line[4:].strip()
        if not line.startswith("data: "):
            return
        data = line[6:].strip()
        if data == "[DONE]":
            self.done = True
            return
        event = json.loads(data)
        if "error" in event:
            self.error = event["error"]
            return
        self.events += 1
        self.text += event["choices"][0]["text"]
        self.tokens = self.text.count(" ")

    @property
    def error_name(self):
        return self.error.get("name")

    @property
    def execution(self):
        return self.error.get("execution")

    def is_complete(self, prompt, max_tokens=1000):
        return self.text == text.expected_text(prompt, max_tokens)


class Caller:
    def __init__(self, cluster, key="org"):
        self.cluster = cluster
        self.key = key

    def headers(self, **rest):
        names = {name.replace("_", "-"): value for name, value in rest.items()}
        return {"Authorization": f"Bearer {self.key}", **names}

    async def generate(
        self, prompt, gateway=0, stream=True, on_event=None, response=None, **headers
    ):
        response = ReceivedResponse() if response is None else response
        body = {
            "model": local_cluster.MODEL,
            "prompt": prompt,
            "max_tokens": 1000,
            "stream": stream,
        }
        try:
            async with self.cluster.session.post(
                f"{self.cluster.gateways[gateway].url}/v1/completions",
                json=body,
                headers=self.headers(**headers),
            ) as http_response:
                await self.read_response(http_response, response, on_event)
        except (aiohttp.ClientError, ConnectionError) as error:
            response.error = {"name": type(error).__name__}
        return response

    async def read_response(self, http_response, response, on_event):
        response.status = http_response.status
        response.code = http_response.headers.get("Quetzalpass-Result")
        if "event-stream" in http_response.headers.get("Content-Type", ""):
            async for line in http_response.content:
                response.parse_line(line.decode())
                if on_event is not None:
                    await on_event(response)
            return
        response.body = await http_response.read()
        try:
            body = json.loads(response.body)
        except ValueError:
            return
        response.error = body.get("error", {})
        if "choices" in body:
            response.text = body["choices"][0]["text"]
            response.done = True

    async def call(self, path="waivers", gateway=0, method="POST", body="", **headers):
        response = ReceivedResponse()
        try:
            async with self.cluster.session.request(
                method,
                f"{self.cluster.gateways[gateway].url}"
                f"/services/{local_cluster.SERVICE}/{path}",
                data=body,
                headers=self.headers(**headers),
            ) as http_response:
                await self.read_response(http_response, response, None)
        except (aiohttp.ClientError, ConnectionError) as error:
            response.error = {"name": type(error).__name__}
        return response
