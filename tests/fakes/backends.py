"""Fake model engines and plain services behind the abstract base classes."""

import asyncio
import collections
import json

from returns import result

from quetzalpass.backends import base, engine_stream

TOKEN_S = 0.02
LATENCY_S = 0.002
CRASHING = "crash"


def token_text(prompt, generation_id, offset):
    return f"{prompt}|{generation_id}|{offset}"


def output_length(prompt):
    """Return the output length in tokens, which is given at the end of the prompt."""
    return int(prompt.rpartition("=")[2])


def failed_attempt(end, kind, message="lost"):
    return result.Failure(base.AttemptFailure(end, kind, message))


NOT_SENT = failed_attempt(
    base.AttemptEnd.NOT_SENT, base.FailureKind.UNREACHABLE, "it is down"
)
LOST = failed_attempt(base.AttemptEnd.MAY_HAVE_RUN, base.FailureKind.CLOSED)


class Run:
    """One generation on an engine, which produces tokens at a fixed rate."""

    def __init__(self, call, now_s):
        self.call = call
        self.started_s = now_s
        self.start_offset = len(call.tokens_so_far)

    def token_count(self, now_s):
        count = self.start_offset + int((now_s - self.started_s) / TOKEN_S)
        return min(count, output_length(self.call.prompt))


class FakeProcess:
    """Base class of both kinds of server; ``ended`` is set when it is killed."""

    def __init__(self, server_id, record):
        self.id = server_id
        self.record = record
        self.is_alive = True
        self.ended = asyncio.Event()
        self.fault = None

    def kill(self):
        self.is_alive = False
        self.ended.set()

    def restart(self):
        if not self.is_alive:
            self.is_alive = True
            self.ended = asyncio.Event()

    def pop_fault(self):
        fault, self.fault = self.fault, None
        return fault

    async def serve(self, work, timeout_s):
        """Serve a call; unless the server is killed, it continues after the timeout."""
        ended = asyncio.create_task(self.ended.wait())
        task = asyncio.create_task(work)
        self.record.pending_tasks |= {task, ended}
        await asyncio.wait(
            {task, ended}, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        is_done = task.done()
        if ended.done() and not is_done:
            task.cancel()
        ended.cancel()
        return task.result() if is_done else LOST


class FakeEngine(FakeProcess):
    def __init__(self, server_id, record):
        super().__init__(server_id, record)
        self.runs = {}
        self.streams = set()

    def kill(self):
        super().kill()
        self.runs.clear()

    def stall(self):
        """Silence every open stream permanently; new streams work."""
        for stream in self.streams:
            stream.is_silent = True


class FakeService(FakeProcess):
    async def run(self, call):
        await asyncio.sleep(LATENCY_S)
        fault = self.pop_fault()
        if fault == "refuse":
            return failed_attempt(base.AttemptEnd.REFUSED, base.FailureKind.OVERLOADED)
        self.record.record_run(self.id, call.request_id, call.idempotency_key)
        await asyncio.sleep(LATENCY_S)
        if fault == "lose":
            return LOST
        return result.Success(base.ServiceResponse(200, {}, call.body))


class FakeAdapter(base.Backend):
    """Adapter of one gateway for one backend server."""

    def __init__(self, server):
        self.server = server

    async def check_health(self, timeout_s):
        await asyncio.sleep(LATENCY_S)
        return self.server.is_alive

    async def close(self):
        pass


class FakeServiceAdapter(FakeAdapter, base.PlainService):
    async def call(self, call, timeout_s):
        if not self.server.is_alive:
            return NOT_SENT
        return await self.server.serve(self.server.run(call), timeout_s)

    async def find_outcome(self, path, timeout_s):
        return NOT_SENT


class FakeEngineAdapter(FakeAdapter, base.ModelEngine):
    async def start(self, call, timeout_s):
        if not self.server.is_alive:
            return NOT_SENT
        await asyncio.sleep(LATENCY_S)
        server = self.server
        if not server.is_alive:
            return LOST
        server.record.record_run(server.id, call.request_id)
        if call.prompt.startswith(CRASHING):
            server.kill()
            return LOST
        now_s = asyncio.get_running_loop().time()
        server.runs[call.generation_id] = Run(call, now_s)
        return self.open(call.generation_id, len(call.tokens_so_far))

    def open(self, generation_id, offset):
        return result.Success(FakeStream(self.server, generation_id, offset))

    async def resume(self, generation_id, offset, timeout_s):
        await asyncio.sleep(LATENCY_S)
        if not self.server.is_alive:
            return NOT_SENT
        if generation_id not in self.server.runs:
            kind = base.FailureKind.UNKNOWN_GENERATION
            return failed_attempt(base.AttemptEnd.REFUSED, kind)
        return self.open(generation_id, offset)

    async def cancel(self, generation_id, only_if_detached=False):
        open_ids = {each.generation_id for each in self.server.streams}
        if not (only_if_detached and generation_id in open_ids):
            self.server.runs.pop(generation_id, None)

    async def load_report(self, timeout_s):
        return NOT_SENT

    async def order(self, order, timeout_s):
        return NOT_SENT

    async def state(self, timeout_s):
        return NOT_SENT


class FakeStream(base.TokenStream):
    """Sends the tokens of an engine as events, checked by ``HttpTokenStream``."""

    def __init__(self, engine, generation_id, offset):
        self.engine = engine
        self.engine_ended = engine.ended
        self.generation_id = generation_id
        self.next_offset = offset
        self.is_silent = False
        self.closed = asyncio.Event()
        engine.streams.add(self)

    async def next_batch(self, max_silence_s):
        loop = asyncio.get_running_loop()
        until_s = loop.time() + max_silence_s
        while loop.time() < until_s:
            run = self.engine.runs.get(self.generation_id)
            if self.closed.is_set() or self.engine_ended.is_set():
                return failed_attempt(base.AttemptEnd.RAN, base.FailureKind.CLOSED)
            end = 0 if run is None else run.token_count(loop.time())
            if not self.is_silent and end > self.next_offset:
                return self.receive(run, end)
            await asyncio.sleep(TOKEN_S)
        return failed_attempt(base.AttemptEnd.RAN, base.FailureKind.SILENT)

    def receive(self, run, end):
        events = self.make_events(run, end)
        checked = engine_stream.HttpTokenStream.check_events(self, events)
        if isinstance(checked, base.AttemptFailure):
            return result.Failure(checked)
        return result.Success(checked)

    def make_events(self, run, end):
        first = self.next_offset
        size = output_length(run.call.prompt)
        offsets = list(range(first, end))
        generation_id, prompt = self.generation_id, run.call.prompt
        match self.engine.pop_fault():
            case "repeat":
                offsets = [first, *offsets]
            case "skip":
                offsets = [each + 1 for each in offsets]
            case "cross":
                generation_id, prompt = "another", f"other={size}"
        events = [
            encode_event(prompt, generation_id, each, each + 1 >= size)
            for each in offsets
        ]
        if end == size:
            events.append(engine_stream.END_MARK)
        return events

    def close(self):
        self.closed.set()
        self.engine.streams.discard(self)


def encode_event(prompt, generation_id, offset, is_last):
    choice = {
        "text": token_text(prompt, generation_id, offset),
        "finish_reason": "stop" if is_last else None,
    }
    event = {"id": generation_id, "offset": offset, "choices": [choice]}
    return json.dumps(event).encode()


class RunRecord:
    """Counts how often requests ran on the backend servers."""

    def __init__(self):
        self.runs_of_request = collections.Counter()
        self.runs_of_key = collections.Counter()
        self.pending_tasks = set()
        self.on_run = None

    def record_run(self, server_id, request_id, key=None):
        if self.on_run is not None:
            self.on_run(server_id, request_id)
        self.runs_of_request[request_id] += 1
        if key is not None:
            self.runs_of_key[key] += 1
