"""Generation ids that only their own organisation can use to come back."""

import hashlib
import hmac

from quetzalpass import ids

SIGNATURE_LENGTH = 16


def sign(random_part: str, organisation: ids.OrganisationId, key: bytes) -> str:
    """Return the seal that binds a random part to an organisation."""
    text = f"{random_part}/{organisation}".encode()
    return hmac.new(key, text, hashlib.sha256).hexdigest()[:SIGNATURE_LENGTH]


def create_generation_id(
    random_part: str, organisation: ids.OrganisationId, key: bytes
) -> ids.GenerationId:
    """Return the generation id of an organisation.

    Parameters
    ----------
    random_part : str
        Fresh random text in hexadecimal.
    organisation : OrganisationId
        Who may resume the generation.
    key : bytes
        Key that all gateways share.
    """
    signature = sign(random_part, organisation, key)
    return ids.GenerationId(f"gen-{random_part}-{signature}")


def belongs_to(
    generation_id: ids.GenerationId, organisation: ids.OrganisationId, key: bytes
) -> bool:
    """Return whether a generation id was made for an organisation."""
    parts = generation_id.split("-")
    if len(parts) != 3 or parts[0] != "gen":
        return False
    expected = sign(parts[1], organisation, key)
    return hmac.compare_digest(parts[2].encode(), expected.encode())
