"""Demonstration: requests, changes and failures against a cluster of real processes.

Prints each step with its outcome; exits with code 0 only if every step passed.
"""

import asyncio
import json
import pathlib
import sys
import tempfile
import urllib.request

import aiohttp

import cluster as clusters
from quetzalpass.standin import text

HOST = clusters.HOST
RESULT = "Quetzalpass-Result"
MAX_STATUS_ATTEMPTS = 12


class Demonstration:
    """Runs the steps and records their outcomes."""

    def __init__(self, cluster: clusters.Cluster, session: aiohttp.ClientSession):
        self.cluster = cluster
        self.session = session
        self.steps: list[tuple[str, str, bool]] = []

    def record_step(self, step: str, outcome: str, passed: bool) -> None:
        """Record the outcome of one step and print it."""
        self.steps.append((step, outcome, passed))
        print(f"  {'ok ' if passed else 'NOT'} {step}: {outcome}", flush=True)

    def url(self, daemon: str, path: str) -> str:
        """Return a URL at a daemon's listener for callers."""
        return f"http://{HOST}:{self.cluster.callers[daemon]}{path}"

    async def stream(self, daemon: str, prompt: str, on_event=None) -> "StreamOutcome":
        """Stream one generation and return what was received."""
        streamed = StreamOutcome()
        body = {
            "model": "draft-llm",
            "prompt": prompt,
            "max_tokens": 5000,
            "stream": True,
        }
        async with self.session.post(
            self.url(daemon, "/v1/completions"),
            json=body,
            headers={"Authorization": f"Bearer {clusters.ORGANISATION_KEY}"},
        ) as response:
            streamed.code = response.headers.get(RESULT, "none")
            async for line in response.content:
                streamed.read_line(line.decode())
                if on_event is not None:
                    await on_event(streamed)
        return streamed

    async def stream_at_each_gateway(self) -> None:
        """Stream one generation at each gateway."""
        for daemon in self.cluster.daemons:
            prompt = f"clause check at {daemon} [tokens=30]"
            streamed = await self.stream(daemon, prompt)
            is_complete = streamed.done and streamed.text == text.expected_text(
                prompt, 5000
            )
            self.record_step(
                f"stream 30 tokens at {daemon}", streamed.summary(), is_complete
            )

    async def file_twice_with_one_key(self) -> None:
        """File a waiver twice with the same idempotency key, at two gateways."""
        responses = []
        for daemon in ("entry-1", "entry-3"):
            async with self.session.post(
                self.url(daemon, "/services/filing/waivers"),
                json={"bill_of_lading": "BL-1"},
                headers={
                    "Authorization": f"Bearer {clusters.ORGANISATION_KEY}",
                    "Idempotency-Key": "waiver-BL-1",
                },
            ) as response:
                responses.append((response.headers.get(RESULT), await response.json()))
        port = self.cluster.servers["desk"]
        with urllib.request.urlopen(
            f"http://{HOST}:{port}/runs/waiver-BL-1", timeout=5
        ) as reply:
            runs = json.load(reply)["runs"]
        is_same = responses[0][1] == responses[1][1] and responses[1][0] == "1"
        self.record_step(
            "file one waiver twice, at two gateways",
            f"ran {runs} time, codes {responses[0][0]} and {responses[1][0]}",
            runs == 1 and is_same,
        )

    async def drain_vm(self) -> None:
        """Drain the VM on which a long generation runs."""
        drained = asyncio.Event()
        drain_outcome: dict[str, str] = {}

        async def drain_when_started(streamed: StreamOutcome) -> None:
            if streamed.tokens < 5 or drained.is_set():
                return
            drained.set()
            drain_outcome["vm"] = f"vm-{streamed.server}"
            changes = {
                drain_outcome["vm"]: {
                    "state": "leaving",
                    "deadline": "2030-01-01T00:00:00+00:00",
                }
            }
            self.cluster.write_declaration(changes)
            applied = await asyncio.to_thread(self.apply)
            drain_outcome["applied"] = str(applied)

        prompt = "long dispute draft [tokens=200]"
        streamed = await self.stream("entry-2", prompt, drain_when_started)
        is_complete = streamed.done and streamed.text == text.expected_text(
            prompt, 5000
        )
        self.record_step(
            f"drain {drain_outcome.get('vm')} while a draft runs there",
            streamed.summary(),
            is_complete and drain_outcome.get("applied") == "0",
        )
        servers = set()
        for number in range(6):
            after = await self.stream("entry-1", f"after the drain {number}")
            servers.add(f"vm-{after.server}")
        self.record_step(
            "six more requests after the drain",
            f"ran on {', '.join(sorted(servers))}",
            drain_outcome["vm"] not in servers,
        )

    def apply(self) -> int:
        """Apply the declaration and return the tool's exit code."""
        completed = self.cluster.run_operator_command(
            "apply", str(self.cluster.folder / "declaration"), "--wait"
        )
        if completed.returncode:
            print(completed.stdout, completed.stderr)
        return completed.returncode

    async def kill_engine(self) -> None:
        """Kill the engine that runs a generation."""
        killed: dict[str, str] = {}

        async def kill_when_started(streamed: StreamOutcome) -> None:
            if streamed.tokens >= 10 and not killed:
                killed["server"] = streamed.server
                await asyncio.to_thread(self.cluster.kill, streamed.server)

        prompt = "draft whose engine dies [tokens=120]"
        streamed = await self.stream("entry-1", prompt, kill_when_started)
        is_complete = streamed.done and streamed.text == text.expected_text(
            prompt, 5000
        )
        self.record_step(
            f"kill {killed.get('server')} in mid-stream",
            streamed.summary(),
            is_complete and bool(killed),
        )

    async def kill_daemon(self) -> None:
        """Kill a replica, change the declaration without it, restart it."""
        await asyncio.to_thread(self.cluster.kill, "entry-1")
        self.cluster.write_declaration({})
        arguments = ("apply", str(self.cluster.folder / "declaration"))
        applied = await asyncio.to_thread(self.cluster.run_operator_command, *arguments)
        await asyncio.to_thread(self.cluster.start_daemon, "entry-1")
        revisions = await self.wait_for_equal_revisions()
        self.record_step(
            "kill entry-1, apply without it, start it again",
            f"exit code {applied.returncode}, revisions {sorted(revisions)}",
            applied.returncode == 0 and len(revisions) == 1 and 0 not in revisions,
        )

    async def wait_for_equal_revisions(self) -> set[int]:
        """Return the revisions in force once they are equal, or after the last try."""
        revisions: set[int] = set()
        for _ in range(MAX_STATUS_ATTEMPTS):
            completed = await asyncio.to_thread(
                self.cluster.run_operator_command, "status", "--json"
            )
            if completed.returncode == 0:
                vms = json.loads(completed.stdout)["vms"]
                revisions = {vm["revision"] for vm in vms}
                if len(revisions) == 1:
                    break
            await asyncio.sleep(0.5)
        return revisions

    async def run(self) -> bool:
        """Run all steps; return whether every one passed."""
        applied = await asyncio.to_thread(self.apply)
        self.record_step("apply the declaration", f"exit code {applied}", applied == 0)
        await self.stream_at_each_gateway()
        await self.file_twice_with_one_key()
        await self.drain_vm()
        await self.kill_engine()
        await self.kill_daemon()
        return all(passed for _, _, passed in self.steps)


class StreamOutcome:
    """What a caller received from one stream."""

    def __init__(self) -> None:
        self.code = "none"
        self.text = ""
        self.tokens = 0
        self.server = ""
        self.done = False
        self.error = ""

    def read_line(self, line: str) -> None:
        """Process one line of the stream."""
        if line.startswith("id: "):
            self.server = line.split("/")[1]
        if not line.startswith("data: "):
            return
        data = line.removeprefix("data: ").strip()
        if data == "[DONE]":
            self.done = True
            return
        event = json.loads(data)
        if "error" in event:
            self.error = str(event["error"]["code"])
            return
        self.text += event["choices"][0]["text"]
        self.tokens += 1

    def summary(self) -> str:
        """Return a line that describes the stream."""
        end = "whole" if self.done else f"ended by code {self.error or self.code}"
        return f"{self.text.count(' ')} tokens, {end}, from {self.server}"


async def demonstrate(cluster: clusters.Cluster) -> bool:
    """Run the demonstration against a started cluster."""
    async with aiohttp.ClientSession() as session:
        return await Demonstration(cluster, session).run()


def main() -> int:
    """Start the cluster, run the demonstration and stop the cluster."""
    with tempfile.TemporaryDirectory(prefix="quetzalpass-demo-") as folder:
        cluster = clusters.Cluster(pathlib.Path(folder))
        cluster.write_files()
        passed = False
        try:
            cluster.start()
            print("quetzalpass demo: steps and outcomes")
            passed = asyncio.run(demonstrate(cluster))
        finally:
            cluster.stop()
            if not passed:
                for name in cluster.daemons:
                    print(f"--- {name}.log")
                    print((cluster.folder / f"{name}.log").read_text()[-3000:])
    print("all steps passed" if passed else "NOT all steps passed")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(main())
