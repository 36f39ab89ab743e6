"""Resumes a generation for a caller that reconnects, at any gateway."""

from returns import result

from quetzalpass import ids
from quetzalpass.lifecycle import gateway as gateways
from quetzalpass.lifecycle import generation_ids, generations, requests
from quetzalpass.results import codes, failures


class ResumedGeneration(generations.Generation):
    """A running generation that this gateway attaches to at its engine.

    Only the engine holds the earlier tokens. This gateway starts at the offset that the
    caller requests, whether or not another gateway still serves the stream.
    """

    supports_hedging = False

    def __init__(
        self,
        gateway: gateways.Gateway,
        request: requests.GenerationRequest,
        generation_id: ids.GenerationId,
        server_id: ids.ServerId,
        offset: int,
    ) -> None:
        super().__init__(gateway, request)
        self.id = generation_id
        self.server_id = server_id
        self.first_offset = offset

    async def open(self) -> result.Result[None, failures.Failure]:
        """Open a connection to the running generation."""
        if await self.resume_on_same_server():
            return result.Success(None)
        return result.Failure(
            failures.Failure(
                codes.Code.UNKNOWN_GENERATION,
                f"{self.server_id} no longer holds the generation",
                codes.Execution.RAN,
            )
        )

    def can_continue_elsewhere(self) -> bool:
        """Return ``False``, as the earlier tokens are not known here."""
        return False


def create_resumed_generation(
    gateway: gateways.Gateway,
    request: requests.GenerationRequest,
    generation_id: ids.GenerationId,
    server_id: ids.ServerId,
    offset: int,
) -> result.Result[generations.Generation, failures.Failure]:
    """Return the rest of a generation if it belongs to the caller's organisation."""
    is_owner = generation_ids.belongs_to(
        generation_id, request.organisation.id, gateway.cluster_key
    )
    if not is_owner or server_id not in request.configuration.servers:
        return result.Failure(
            failures.Failure(
                codes.Code.UNKNOWN_GENERATION, "the generation is not known"
            )
        )
    if request.delivery is requests.Delivery.WHOLE:
        return result.Failure(
            failures.Failure(
                codes.Code.BAD_HEADER,
                "Last-Event-ID is allowed only for a streamed response",
            )
        )
    return result.Success(
        ResumedGeneration(gateway, request, generation_id, server_id, offset)
    )
