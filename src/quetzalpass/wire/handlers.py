"""Table from a message's type to the handler that answers it."""

from collections import abc

from returns import result

from quetzalpass.results import codes, failures
from quetzalpass.wire import messages

Outcome = result.Result[messages.Reply, failures.Failure]
Handler = abc.Callable[[messages.Request], abc.Awaitable[Outcome]]


class HandlerTable:
    """Handlers of one VM, by the name of the message type."""

    def __init__(self) -> None:
        self.handlers: dict[str, tuple[type[messages.Request], Handler]] = {}

    def add(self, request_type: type[messages.Request], handler: Handler) -> None:
        """Register the handler of a message type.

        Parameters
        ----------
        request_type : type
            Type of the messages; its name is the path under which they are sent.
        handler : callable
            Coroutine function that takes a message and returns a result.
        """
        name = request_type.__name__
        assert name not in self.handlers, f"{name} has a handler already"
        self.handlers[name] = (request_type, handler)

    async def answer(self, name: str, data: bytes) -> Outcome:
        """Decode a message and return its handler's answer.

        Parameters
        ----------
        name : str
            Name of the message type.
        data : bytes
            The message as JSON.

        Returns
        -------
        returns.result.Result
            The handler's result, ``NOT_FOUND`` where there is none, or ``BAD_JSON``.
        """
        if name not in self.handlers:
            message = f"This VM has no handler for {name!r}; compare the versions."
            return result.Failure(failures.Failure(codes.Code.NOT_FOUND, message))
        request_type, handler = self.handlers[name]
        decoded = messages.decode(data, request_type)
        if isinstance(decoded, result.Failure):
            return decoded
        return await handler(decoded.unwrap())
