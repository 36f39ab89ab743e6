"""Signed generation ids, which only their own organisation can resume."""

import hashlib
import hmac

from quetzalpass import ids

SIGNATURE_LENGTH = 16


def sign(random_part: str, organisation: ids.OrganisationId, key: bytes) -> str:
    """Return the HMAC that binds the random part of an id to an organisation."""
    text = f"{random_part}/{organisation}".encode()
    return hmac.new(key, text, hashlib.sha256).hexdigest()[:SIGNATURE_LENGTH]


def create_generation_id(
    random_part: str, organisation: ids.OrganisationId, key: bytes
) -> ids.GenerationId:
    """Return a signed generation id for an organisation.

    Parameters
    ----------
    random_part : str
        New random number in hexadecimal.
    organisation : OrganisationId
        Organisation that may resume the generation.
    key : bytes
        Key that all gateways share.
    """
    signature = sign(random_part, organisation, key)
    return ids.GenerationId(f"gen-{random_part}-{signature}")


def belongs_to(
    generation_id: ids.GenerationId, organisation: ids.OrganisationId, key: bytes
) -> bool:
    """Return whether a generation id was signed for an organisation."""
    parts = generation_id.split("-")
    if len(parts) != 3 or parts[0] != "gen":
        return False
    expected = sign(parts[1], organisation, key)
    return hmac.compare_digest(parts[2].encode(), expected.encode())
