"""Callers of ``bench outcomes``, which retry as each response advises."""

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
RESEND_DELAY_S = 0.3
MAX_RESEND_DELAY_S = 2.0
EXCHANGE_TIMEOUT_S = 25.0
RESULT_HEADER = "Quetzalpass-Result"
KIND = outcome_records.Kind


class ErrorDetail(msgspec.Struct):
    """Error details that the callers use."""

    code: int
    execution: str | None = None
    retry_after_ms: int | None = None


class ErrorBody(msgspec.Struct):
    """Body or stream event that reports an error with a code."""

    error: ErrorDetail


class Caller:
    """Sends one request, and retries or resumes it as the responses advise.

    Parameters
    ----------
    cluster : local_cluster.LocalCluster
        Cluster with the gateways.
    request : outcome_records.Request
        Request to send; its outcome is stored in it.
    run_counts : outcome_records.RunCounts
        Counts of what the stand-ins have run.
    rng : random.Random
        Chooses a gateway for each send, as a load balancer would.
    """

    def __init__(
        self,
        cluster: local_cluster.LocalCluster,
        request: outcome_records.Request,
        run_counts: outcome_records.RunCounts,
        rng: random.Random,
    ) -> None:
        self.cluster = cluster
        self.request = request
        self.run_counts = run_counts
        self.rng = rng
        self.last_event = ""
        self.retry_after_s = RESEND_DELAY_S

    async def run(self) -> None:
        """Send until the request has its final outcome."""
        sends = self.request.sends
        while len(sends) < MAX_SENDS and not self.request.whole:
            send = outcome_records.Send(
                runs_before=self.run_counts.run_count(self.request)
            )
            sends.append(send)
            await self.exchange(send)
            send.runs_after = self.run_counts.run_count(self.request)
            self.check_tokens()
            if self.request.whole or not self.should_resend(send):
                return
            await asyncio.sleep(min(MAX_RESEND_DELAY_S, self.retry_after_s))

    def should_resend(self, send: outcome_records.Send) -> bool:
        """Return whether the response, or its absence, allows a retry."""
        if send.code is None or send.code == codes.Code.OK:
            return True
        code = codes.Code(send.code)
        if code in (codes.Code.UNKNOWN_GENERATION, codes.Code.SERVER_LOST):
            self.discard_received()
            return True
        return codes.spec_of(code).retry

    def discard_received(self) -> None:
        """Discard the received text, as the generation can't be resumed."""
        self.last_event = ""
        self.request.received = ""

    def check_tokens(self) -> None:
        """Add the wrong tokens received so far to the errors of the request."""
        request = self.request
        if request.kind in outcome_records.GENERATIONS:
            request.token_errors += outcome_records.count_token_errors(
                request.text, request.received, request.whole, MAX_TOKENS
            )

    async def exchange(self, send: outcome_records.Send) -> None:
        """Send the request once and read the response."""
        gateway = self.rng.choice(self.cluster.gateways)
        is_call = self.request.kind in (KIND.LOOK_UP, KIND.FILING)
        send_request = self.call if is_call else self.generate
        self.retry_after_s = RESEND_DELAY_S
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                await send_request(gateway.url, send)
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
            self.discard_received()
        if self.last_event:
            headers["Last-Event-ID"] = self.last_event
        return headers

    async def call(self, url: str, send: outcome_records.Send) -> None:
        """Call the plain service."""
        method = "GET" if self.request.kind is KIND.LOOK_UP else "POST"
        path = f"{url}/services/{local_cluster.SERVICE}/waivers"
        async with self.cluster.session.request(
            method, path, headers=self.headers(), data=self.request.text
        ) as response:
            body = await response.read()
            if not self.record_failure(send, body):
                send.code = int(response.headers[RESULT_HEADER])
                self.request.whole = json.loads(body)["key"] == self.request.text
                self.request.token_errors += not self.request.whole
                send.ended = True

    async def generate(self, url: str, send: outcome_records.Send) -> None:
        """Request a generation."""
        is_streaming = self.request.kind is not KIND.WHOLE
        body = {
            "model": local_cluster.MODEL,
            "prompt": self.request.text,
            "max_tokens": MAX_TOKENS,
            "stream": is_streaming,
        }
        async with self.cluster.session.post(
            f"{url}/v1/completions", json=body, headers=self.headers()
        ) as response:
            if "event-stream" in response.headers.get("Content-Type", ""):
                await self.read_stream(response, send)
                return
            response_body = await response.read()
            if not self.record_failure(send, response_body):
                send.code = int(response.headers[RESULT_HEADER])
                send.ended = self.request.whole = True
                self.request.received = json.loads(response_body)["choices"][0]["text"]

    async def read_stream(
        self, response: aiohttp.ClientResponse, send: outcome_records.Send
    ) -> None:
        """Read a stream until its end marker or an error."""
        async for line in response.content:
            if line.startswith(b"id: "):
                event_id = line[4:].strip().decode()
            if not line.startswith(b"data: "):
                continue
            data = line[6:].strip()
            if data == b"[DONE]":
                send.code = int(response.headers[RESULT_HEADER])
                send.ended = self.request.whole = True
            elif not self.record_failure(send, data):
                self.request.received += json.loads(data)["choices"][0]["text"]
                self.last_event = event_id

    def record_failure(self, send: outcome_records.Send, data: bytes) -> bool:
        """Record the error that the data contains; return whether there is one."""
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
