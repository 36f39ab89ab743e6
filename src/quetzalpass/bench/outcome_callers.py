"""Callers of ``bench outcomes``: they follow the advice of each answer."""

import asyncio
import json
import random

import aiohttp
import msgspec

from quetzalpass.bench import local_cluster, outcome_records
from quetzalpass.results import codes

MAX_TOKENS = 500
MAX_SENDS = 8
TIMEOUT_MS = 20_000
RESEND_WAIT_S = 0.3
MAX_RESEND_WAIT_S = 2.0
EXCHANGE_TIMEOUT_S = 25.0
RESULT_HEADER = "Quetzalpass-Result"
KIND = outcome_records.Kind


class ErrorDetail(msgspec.Struct):
    """What the callers read of a numbered failure."""

    code: int
    execution: str | None = None
    retry_after_ms: int | None = None


class ErrorBody(msgspec.Struct):
    """Body or event of a numbered failure."""

    error: ErrorDetail


class Caller:
    """Sends one request, and sends it again or resumes it as it is told.

    Parameters
    ----------
    cluster : local_cluster.LocalCluster
        Where the gateways are.
    request : outcome_records.Request
        What to send; the outcome is kept there.
    runs : outcome_records.Runs
        What the stand-ins have run.
    rng : random.Random
        Chooses gateways, as a balancer would.
    """

    def __init__(
        self,
        cluster: local_cluster.LocalCluster,
        request: outcome_records.Request,
        runs: outcome_records.Runs,
        rng: random.Random,
    ) -> None:
        self.cluster = cluster
        self.request = request
        self.runs = runs
        self.rng = rng
        self.last_event = ""
        self.retry_after_s = RESEND_WAIT_S

    async def run(self) -> None:
        """Send until the request has its final outcome."""
        sends = self.request.sends
        while len(sends) < MAX_SENDS and not self.request.whole:
            send = outcome_records.Send(runs_before=self.runs.of(self.request))
            sends.append(send)
            await self.exchange(send)
            send.runs_after = self.runs.of(self.request)
            self.check_tokens()
            if self.request.whole or not self.sends_again(send):
                return
            await asyncio.sleep(min(MAX_RESEND_WAIT_S, self.retry_after_s))

    def sends_again(self, send: outcome_records.Send) -> bool:
        """Return whether the answer, or its absence, allows another send."""
        if send.code is None or send.code == codes.Code.OK:
            return True
        code = codes.Code(send.code)
        if code in (codes.Code.UNKNOWN_GENERATION, codes.Code.SERVER_LOST):
            self.start_anew()
            return True
        return codes.spec_of(code).retry

    def start_anew(self) -> None:
        """Forget what was received, as the generation can't go on."""
        self.last_event = ""
        self.request.received = ""

    def check_tokens(self) -> None:
        """Count the tokens that are wrong so far."""
        request = self.request
        if request.kind in outcome_records.GENERATIONS:
            request.token_errors += outcome_records.token_errors_of(
                request.text, request.received, request.whole, MAX_TOKENS
            )

    async def exchange(self, send: outcome_records.Send) -> None:
        """Send once and read what comes back."""
        gateway = self.rng.choice(self.cluster.gateways)
        is_call = self.request.kind in (KIND.LOOK_UP, KIND.FILING)
        ask = self.call if is_call else self.generate
        self.retry_after_s = RESEND_WAIT_S
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await ask(gateway.url, send)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return

    def headers(self) -> dict[str, str]:
        """Return the headers of the next send."""
        kind = self.request.kind
        headers = {
            "Authorization": "Bearer org",
            "Quetzalpass-Timeout-Ms": str(TIMEOUT_MS),
        }
        if kind in (KIND.LOOK_UP, KIND.FILING, KIND.CLAIMED_STREAM):
            headers["Idempotency-Key"] = self.request.text
        if kind is KIND.CLAIMED_STREAM:
            headers["Idempotency-Key"] = f"generation-{self.request.number}"
            headers["Quetzalpass-Non-Idempotent"] = "true"
            self.start_anew()
        if self.last_event:
            headers["Last-Event-ID"] = self.last_event
        return headers

    async def call(self, url: str, send: outcome_records.Send) -> None:
        """Call the plain service."""
        method = "GET" if self.request.kind is KIND.LOOK_UP else "POST"
        path = f"{url}/services/{local_cluster.SERVICE}/waivers"
        async with self.cluster.session.request(
            method, path, headers=self.headers(), data=self.request.text
        ) as answer:
            body = await answer.read()
            if not self.take_failure(send, body):
                send.code = int(answer.headers[RESULT_HEADER])
                self.request.whole = json.loads(body)["key"] == self.request.text
                self.request.token_errors += not self.request.whole
                send.ended = True

    async def generate(self, url: str, send: outcome_records.Send) -> None:
        """Ask for a generation."""
        streams = self.request.kind is not KIND.WHOLE
        body = {
            "model": local_cluster.MODEL,
            "prompt": self.request.text,
            "max_tokens": MAX_TOKENS,
            "stream": streams,
        }
        async with self.cluster.session.post(
            f"{url}/v1/completions", json=body, headers=self.headers()
        ) as answer:
            if "event-stream" in answer.headers.get("Content-Type", ""):
                await self.read_stream(answer, send)
                return
            whole = await answer.read()
            if not self.take_failure(send, whole):
                send.code = int(answer.headers[RESULT_HEADER])
                send.ended = self.request.whole = True
                self.request.received = json.loads(whole)["choices"][0]["text"]

    async def read_stream(
        self, answer: aiohttp.ClientResponse, send: outcome_records.Send
    ) -> None:
        """Read a stream to its end mark or its failure."""
        async for line in answer.content:
            if line.startswith(b"id: "):
                event_id = line[4:].strip().decode()
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                send.code = int(answer.headers[RESULT_HEADER])
                send.ended = self.request.whole = True
            elif not self.take_failure(send, data):
                self.request.received += json.loads(data)["choices"][0]["text"]
                self.last_event = event_id

    def take_failure(self, send: outcome_records.Send, data: bytes) -> bool:
        """Keep a numbered failure; return whether the data is one."""
        try:
            failure = msgspec.json.decode(data, type=ErrorBody).error
        except msgspec.MsgspecError:
            return False
        send.code = failure.code
        send.execution = failure.execution
        send.ended = True
        if failure.retry_after_ms is not None:
            self.retry_after_s = failure.retry_after_ms / outcome_records.MS_PER_S
        return True
