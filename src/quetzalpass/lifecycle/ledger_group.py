"""The gateway's client of one ledger group."""

import asyncio

import logbook
import msgspec
from returns import result

from quetzalpass import background, ids
from quetzalpass.control import ledger_messages as messages
from quetzalpass.control import proposers
from quetzalpass.results import codes, failures

LOG = logbook.Logger("ledger")

MS_PER_S = 1000
MAX_BATCH = 256
PROPOSE_TIMEOUT_S = 3.0
RENEW_INTERVAL_S = 8.0
SETTLE_RETRY_BASE_S = 0.2
SETTLE_RETRY_CAP_S = 5.0
MAX_UNSETTLED = 10_000
MAX_UNSETTLED_BYTES = 33_554_432

ClaimResult = result.Result[messages.ClaimReply, failures.Failure]


class PendingCommand(msgspec.Struct, frozen=True):
    """A command that is queued for the next batch."""

    command: messages.Command
    reply: asyncio.Future[ClaimResult]


class LedgerGroup:
    """Commits the commands of one gateway in batches.

    Commands that arrive while a batch is being committed form the next batch.

    Parameters
    ----------
    owner : VmId
        This gateway.
    incarnation : int
        Number that grows with each restart of this gateway.
    proposer : proposers.Proposer
        Proposes commands to the group.
    new_operation_id : callable
        Returns a new operation id.

    Attributes
    ----------
    held : set of str
        Tokens of claims that were granted and are not settled.
    unconfirmed : list of ClaimCommand
        Claims whose commit was not confirmed, so that the group may hold them. A
        resend of the request reuses the command with its token; otherwise the claim
        is released.
    unsettled : dict of str to Command
        Release and record commands that are not committed yet, by token.
    """

    def __init__(
        self,
        owner: ids.VmId,
        incarnation: int,
        proposer: proposers.Proposer,
        new_operation_id,
    ) -> None:
        self.owner = owner
        self.incarnation = incarnation
        self.proposer = proposer
        self.new_operation_id = new_operation_id
        self.started_s = asyncio.get_running_loop().time()
        self.pending: list[PendingCommand] = []
        self.held: set[str] = set()
        self.unconfirmed: list[messages.ClaimCommand] = []
        self.unsettled: dict[str, messages.Command] = {}
        self.unsettled_bytes = 0
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.failure_log = background.FailureLog()

    def ensure_running(self, name: str, make_coroutine) -> None:
        """Start a background task unless the one of that name is still running."""
        task = self.tasks.get(name)
        if task is None or task.done():
            self.tasks[name] = asyncio.create_task(
                background.run_to_end(f"ledger: {name}", make_coroutine)
            )

    async def submit(self, command: messages.Command) -> ClaimResult:
        """Commit a command with the next batch."""
        reply: asyncio.Future[ClaimResult]
        reply = asyncio.get_running_loop().create_future()
        self.pending.append(PendingCommand(command, reply))
        self.ensure_running("flush", self.flush)
        return await reply

    async def flush(self) -> None:
        """Commit batches until no command is pending."""
        while self.pending:
            batch = self.pending[:MAX_BATCH]
            del self.pending[:MAX_BATCH]
            committed = await self.propose(tuple(each.command for each in batch))
            for index, each in enumerate(batch):
                if each.reply.done():
                    continue
                if isinstance(committed, result.Failure):
                    each.reply.set_result(committed)
                else:
                    reply = committed.unwrap().answers[index]
                    each.reply.set_result(result.Success(reply))

    async def propose(
        self, commands: tuple[messages.Command, ...]
    ) -> result.Result[messages.BatchReply, failures.Failure]:
        """Commit one batch."""
        now_s = asyncio.get_running_loop().time()
        uptime_ms = int((now_s - self.started_s) * MS_PER_S)
        stamp = messages.Stamp(self.owner, self.incarnation, uptime_ms)
        command = msgspec.msgpack.encode(messages.Batch(stamp, commands))
        try:
            async with asyncio.timeout(PROPOSE_TIMEOUT_S):
                committed = await self.proposer.propose(
                    self.owner, self.new_operation_id(), command
                )
            if isinstance(committed, result.Failure):
                return committed
            batch = decode_reply(committed.unwrap(), len(commands))
        except TimeoutError:
            failure = failures.Failure(codes.Code.NO_QUORUM, "no majority replied")
            return result.Failure(failure)
        except (Exception, asyncio.CancelledError) as error:
            if background.is_cancelled():
                raise
            # Whether the batch was committed is unknown, as after a timeout.
            self.failure_log.record("A batch of the ledger failed", error)
            failure = failures.Failure(codes.Code.NO_QUORUM, "an internal error")
            return result.Failure(failure)
        if batch.incarnation > self.incarnation:
            # The wall clock went back across a restart: continue from the incarnation
            # that the group knows.
            self.incarnation = batch.incarnation + 1
            self.started_s = now_s
        return result.Success(batch)

    async def claim(self, command: messages.ClaimCommand) -> ClaimResult:
        """Claim a request; reuse an earlier unconfirmed claim of the same request."""
        if len(self.unsettled) + len(self.unconfirmed) >= MAX_UNSETTLED:
            return unavailable("too many outcomes are not committed yet")
        command = self.pop_unconfirmed(command) or command
        try:
            committed = await self.submit(command)
        except asyncio.CancelledError:
            self.add_unconfirmed(command)
            raise
        if isinstance(committed, result.Failure):
            self.add_unconfirmed(command)
            return unavailable(committed.failure().message)
        if committed.unwrap().state is messages.ClaimState.GRANTED:
            self.held.add(command.token)
            self.ensure_running("renew", self.renew)
        return committed

    def pop_unconfirmed(
        self, command: messages.ClaimCommand
    ) -> messages.ClaimCommand | None:
        """Remove and return an earlier unconfirmed claim of the same request."""
        for index, earlier in enumerate(self.unconfirmed):
            same = earlier.fingerprint == command.fingerprint
            if same and earlier.key == command.key:
                return self.unconfirmed.pop(index)
        return None

    def add_unconfirmed(self, command: messages.ClaimCommand) -> None:
        """Keep a claim that may still be committed, so that it is released later."""
        self.unconfirmed.append(command)
        self.ensure_running("settle", self.settle)

    async def renew(self) -> None:
        """Send periodic heartbeats to the group while this gateway holds claims."""
        while self.held:
            await asyncio.sleep(RENEW_INTERVAL_S)
            await self.submit(messages.RenewCommand())

    async def finish(
        self, command: messages.ReleaseCommand | messages.RecordCommand
    ) -> None:
        """Commit a release or a record; a background task retries it if that fails."""
        committed = await self.submit(command)
        self.held.discard(command.token)
        if isinstance(committed, result.Failure):
            LOG.warning(
                "ledger: Outcome of {} is not committed yet: {}.",
                command.key.key,
                committed.failure().message,
            )
            self.add_unsettled(command)

    def add_unsettled(
        self, command: messages.ReleaseCommand | messages.RecordCommand
    ) -> None:
        """Keep a command for a retry; drop its body if the kept ones are too large."""
        if isinstance(command, messages.RecordCommand) and command.outcome is not None:
            size = len(command.outcome.body)
            if self.unsettled_bytes + size > MAX_UNSETTLED_BYTES:
                outcome = msgspec.structs.replace(
                    command.outcome, body=b"", whole=False
                )
                command = msgspec.structs.replace(command, outcome=outcome)
                size = 0
            self.unsettled_bytes += size
        self.unsettled[command.token] = command
        self.held.add(command.token)
        self.ensure_running("renew", self.renew)
        self.ensure_running("settle", self.settle)

    async def settle(self) -> None:
        """Retry unsettled and unconfirmed commands until all are committed."""
        attempt = 0
        while self.unsettled or self.unconfirmed:
            await asyncio.sleep(
                min(SETTLE_RETRY_CAP_S, SETTLE_RETRY_BASE_S * 2**attempt)
            )
            attempt += 1
            for _ in range(len(self.unconfirmed)):
                await self.settle_unconfirmed()
            for token, command in list(self.unsettled.items()):
                committed = await self.submit(command)
                if isinstance(committed, result.Failure):
                    break
                attempt = 0
                del self.unsettled[token]
                self.held.discard(token)
        self.unsettled_bytes = 0

    async def settle_unconfirmed(self) -> None:
        """Submit the oldest unconfirmed claim again; release it if it is granted."""
        if not self.unconfirmed:
            return
        command = self.unconfirmed.pop(0)
        committed = await self.submit(command)
        if isinstance(committed, result.Failure):
            self.unconfirmed.append(command)
        elif committed.unwrap().state is messages.ClaimState.GRANTED:
            await self.finish(messages.ReleaseCommand(command.key, command.token))

    def close(self) -> None:
        """Stop all tasks."""
        for task in self.tasks.values():
            task.cancel()


def decode_reply(data: bytes, commands: int) -> messages.BatchReply:
    """Decode the reply to a batch.

    Raises
    ------
    ValueError
        If it is malformed or doesn't answer each command.
    """
    batch = msgspec.msgpack.decode(data, type=messages.BatchReply)
    if len(batch.answers) != commands:
        raise ValueError(f"{len(batch.answers)} answers to {commands} commands")
    return batch


def unavailable(message: str) -> ClaimResult:
    """Return the failure of a claim that was not committed; the request did not run."""
    return result.Failure(
        failures.Failure(
            codes.Code.LEDGER_UNAVAILABLE,
            f"the ledger did not commit the claim: {message}",
            retry_after_ms=MS_PER_S,
        )
    )
