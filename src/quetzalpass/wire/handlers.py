"""Handlers of peer requests by the type of the request."""

from collections import abc

from returns import result

from quetzalpass import background
from quetzalpass.results import codes, failures
from quetzalpass.wire import messages

Outcome = result.Result[messages.Reply, failures.Failure]
Handler = abc.Callable[[messages.Request], abc.Awaitable[Outcome]]


class HandlerTable:
    """Handlers of one VM by the name of the request type."""

    def __init__(self) -> None:
        self.handlers: dict[str, tuple[type[messages.Request], Handler]] = {}
        self.failure_log = background.FailureLog()

    def add(self, request_type: type[messages.Request], handler: Handler) -> None:
        """Register the handler of a request type.

        Parameters
        ----------
        request_type : type
            Type of the requests; its name is the last part of their URL path.
        handler : callable
            Coroutine function that takes a request and returns a result.
        """
        name = request_type.__name__
        assert name not in self.handlers, f"{name} already has a handler"
        self.handlers[name] = (request_type, handler)

    async def handle(self, name: str, data: bytes) -> Outcome:
        """Decode a request and call its handler.

        Parameters
        ----------
        name : str
            Name of the request type.
        data : bytes
            The request as JSON.

        Returns
        -------
        returns.result.Result
            The handler's result, ``NOT_FOUND`` if there is no handler, ``BAD_JSON``, or
            ``UNREACHABLE`` if the handler raised an exception, which is logged.
        """
        if name not in self.handlers:
            message = (
                f"This VM has no handler for {name!r}; compare the versions of the VMs."
            )
            return result.Failure(failures.Failure(codes.Code.NOT_FOUND, message))
        request_type, handler = self.handlers[name]
        decoded = messages.decode(data, request_type)
        if isinstance(decoded, result.Failure):
            return decoded
        try:
            return await handler(decoded.unwrap())
        except Exception as error:
            self.failure_log.record(f"The handler of {name} failed", error)
            message = f"The handler of {name} failed; see the log of this VM."
            # As for a lost reply, nobody knows what the handler has done.
            return result.Failure(failures.Failure(codes.Code.UNREACHABLE, message))
