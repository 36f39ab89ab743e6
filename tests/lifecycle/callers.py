"""A caller that keeps what it was sent."""

import json

import aiohttp

from quetzalpass.bench import local_cluster
from quetzalpass.standin import text


class Reply:
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

    def take(self, line):
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

    def whole(self, prompt, max_tokens=1000):
        return self.text == text.expected_text(prompt, max_tokens)


class Caller:
    def __init__(self, cluster, key="org"):
        self.cluster = cluster
        self.key = key

    def headers(self, **rest):
        names = {name.replace("_", "-"): value for name, value in rest.items()}
        return {"Authorization": f"Bearer {self.key}", **names}

    async def generate(
        self, prompt, gateway=0, stream=True, on_event=None, reply=None, **headers
    ):
        reply = Reply() if reply is None else reply
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
            ) as answer:
                await self.read(answer, reply, on_event)
        except (aiohttp.ClientError, ConnectionError) as error:
            reply.error = {"name": type(error).__name__}
        return reply

    async def read(self, answer, reply, on_event):
        reply.status = answer.status
        reply.code = answer.headers.get("Quetzalpass-Result")
        if "event-stream" in answer.headers.get("Content-Type", ""):
            async for line in answer.content:
                reply.take(line.decode())
                if on_event is not None:
                    await on_event(reply)
            return
        reply.body = await answer.read()
        try:
            body = json.loads(reply.body)
        except ValueError:
            return
        reply.error = body.get("error", {})
        if "choices" in body:
            reply.text = body["choices"][0]["text"]
            reply.done = True

    async def call(self, path="waivers", gateway=0, method="POST", body="", **headers):
        reply = Reply()
        try:
            async with self.cluster.session.request(
                method,
                f"{self.cluster.gateways[gateway].url}"
                f"/services/{local_cluster.SERVICE}/{path}",
                data=body,
                headers=self.headers(**headers),
            ) as answer:
                await self.read(answer, reply, None)
        except (aiohttp.ClientError, ConnectionError) as error:
            reply.error = {"name": type(error).__name__}
        return reply
