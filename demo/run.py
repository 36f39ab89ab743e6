"""The demonstration: the whole path over real processes, with its failures.

Prints what was asked and what came back; exits with 0 only if everything held.
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
STATUS_TRIES = 12


class Demonstration:
    """Runs the steps and keeps what each of them gave."""

    def __init__(self, cluster: clusters.Cluster, session: aiohttp.ClientSession):
        self.cluster = cluster
        self.session = session
        self.rows: list[tuple[str, str, bool]] = []

    def note(self, asked: str, got: str, held: bool) -> None:
        """Keep one row of the table."""
        self.rows.append((asked, got, held))
        print(f"  {'ok ' if held else 'NOT'} {asked}: {got}", flush=True)

    def url(self, daemon: str, path: str) -> str:
        """Return an address at a daemon's callers' listener."""
        return f"http://{HOST}:{self.cluster.callers[daemon]}{path}"

    async def stream(self, daemon: str, prompt: str, on_event=None) -> "Streamed":
        """Stream one generation and return what came."""
        streamed = Streamed()
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
        ) as answer:
            streamed.code = answer.headers.get(RESULT, "none")
            async for line in answer.content:
                streamed.take(line.decode())
                if on_event is not None:
                    await on_event(streamed)
        return streamed

    async def stream_one(self) -> None:
        """Stream one generation through each gateway."""
        for daemon in self.cluster.daemons:
            prompt = f"clause check at {daemon} [tokens=30]"
            got = await self.stream(daemon, prompt)
            whole = got.done and got.text == text.expected_text(prompt, 5000)
            self.note(f"stream 30 tokens at {daemon}", got.summary(), whole)

    async def file_once(self) -> None:
        """File a waiver twice with one key, at two gateways."""
        answers = []
        for daemon in ("entry-1", "entry-3"):
            async with self.session.post(
                self.url(daemon, "/services/filing/waivers"),
                json={"bill_of_lading": "BL-1"},
                headers={
                    "Authorization": f"Bearer {clusters.ORGANISATION_KEY}",
                    "Idempotency-Key": "waiver-BL-1",
                },
            ) as answer:
                answers.append((answer.headers.get(RESULT), await answer.json()))
        port = self.cluster.servers["desk"]
        with urllib.request.urlopen(
            f"http://{HOST}:{port}/runs/waiver-BL-1", timeout=5
        ) as counted:
            runs = json.load(counted)["runs"]
        same = answers[0][1] == answers[1][1] and answers[1][0] == "1"
        self.note(
            "file one waiver twice, at two gateways",
            f"ran {runs} time, codes {answers[0][0]} and {answers[1][0]}",
            runs == 1 and same,
        )

    async def drain_vm(self) -> None:
        """Drain the VM that runs a long generation."""
        drained = asyncio.Event()
        found: dict[str, str] = {}

        async def drain_when_started(streamed: Streamed) -> None:
            if streamed.tokens < 5 or drained.is_set():
                return
            drained.set()
            found["vm"] = f"vm-{streamed.server}"
            changes = {
                found["vm"]: {
                    "state": "leaving",
                    "deadline": "2030-01-01T00:00:00+00:00",
                }
            }
            self.cluster.write_declaration(changes)
            applied = await asyncio.to_thread(self.apply)
            found["applied"] = str(applied)

        prompt = "long dispute draft [tokens=200]"
        got = await self.stream("entry-2", prompt, drain_when_started)
        whole = got.done and got.text == text.expected_text(prompt, 5000)
        self.note(
            f"drain {found.get('vm')} while a draft runs there",
            got.summary(),
            whole and found.get("applied") == "0",
        )
        servers = set()
        for number in range(6):
            after = await self.stream("entry-1", f"after the drain {number}")
            servers.add(f"vm-{after.server}")
        self.note(
            "six more requests after the drain",
            f"ran on {', '.join(sorted(servers))}",
            found["vm"] not in servers,
        )

    def apply(self) -> int:
        """Apply the declaration and return the tool's exit code."""
        done = self.cluster.operator(
            "apply", str(self.cluster.folder / "declaration"), "--wait"
        )
        if done.returncode:
            print(done.stdout, done.stderr)
        return done.returncode

    async def kill_engine(self) -> None:
        """Kill the engine in the middle of a stream."""
        killed: dict[str, str] = {}

        async def kill_when_started(streamed: Streamed) -> None:
            if streamed.tokens >= 10 and not killed:
                killed["server"] = streamed.server
                await asyncio.to_thread(self.cluster.kill, streamed.server)

        prompt = "draft whose engine dies [tokens=120]"
        got = await self.stream("entry-1", prompt, kill_when_started)
        whole = got.done and got.text == text.expected_text(prompt, 5000)
        self.note(
            f"kill {killed.get('server')} in mid-stream",
            got.summary(),
            whole and bool(killed),
        )

    async def kill_daemon(self) -> None:
        """Kill a replica, change the declaration without it, start it again."""
        await asyncio.to_thread(self.cluster.kill, "entry-1")
        self.cluster.write_declaration({})
        arguments = ("apply", str(self.cluster.folder / "declaration"))
        applied = await asyncio.to_thread(self.cluster.operator, *arguments)
        await asyncio.to_thread(self.cluster.start_daemon, "entry-1")
        revisions = await self.revisions_once_equal()
        self.note(
            "kill entry-1, apply without it, start it again",
            f"exit code {applied.returncode}, revisions {sorted(revisions)}",
            applied.returncode == 0 and len(revisions) == 1 and 0 not in revisions,
        )

    async def revisions_once_equal(self) -> set[int]:
        """Return the revisions in force, when all are equal or time is over."""
        revisions: set[int] = set()
        for _ in range(STATUS_TRIES):
            done = await asyncio.to_thread(self.cluster.operator, "status", "--json")
            if done.returncode == 0:
                vms = json.loads(done.stdout)["vms"]
                revisions = {each["revision"] for each in vms}
                if len(revisions) == 1:
                    break
            await asyncio.sleep(0.5)
        return revisions

    async def run(self) -> bool:
        """Run all steps; return whether everything held."""
        applied = await asyncio.to_thread(self.apply)
        self.note("apply the declaration", f"exit code {applied}", applied == 0)
        await self.stream_one()
        await self.file_once()
        await self.drain_vm()
        await self.kill_engine()
        await self.kill_daemon()
        return all(held for _, _, held in self.rows)


class Streamed:
    """What a caller read from one stream."""

    def __init__(self) -> None:
        self.code = "none"
        self.text = ""
        self.tokens = 0
        self.server = ""
        self.done = False
        self.error = ""

    def take(self, line: str) -> None:
        """Read one line of the stream."""
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
        """Return one line about the stream."""
        end = "whole" if self.done else f"ended by code {self.error or self.code}"
        return f"{self.text.count(' ')} tokens, {end}, from {self.server}"


async def demonstrate(cluster: clusters.Cluster) -> bool:
    """Run the demonstration against a started cluster."""
    async with aiohttp.ClientSession() as session:
        return await Demonstration(cluster, session).run()


def main() -> int:
    """Start everything, run the demonstration, stop everything."""
    with tempfile.TemporaryDirectory(prefix="quetzalpass-demo-") as folder:
        cluster = clusters.Cluster(pathlib.Path(folder))
        cluster.write_files()
        held = False
        try:
            cluster.start()
            print("quetzalpass demo: asked and got")
            held = asyncio.run(demonstrate(cluster))
        finally:
            cluster.stop()
            if not held:
                for name in cluster.daemons:
                    print(f"--- {name}.log")
                    print((cluster.folder / f"{name}.log").read_text()[-3000:])
    print("everything held" if held else "NOT everything held")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
