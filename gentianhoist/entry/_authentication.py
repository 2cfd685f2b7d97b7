"""Who a caller or operator is, by API key."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Sequence

from gentianhoist.exceptions import ErrorKind, HoistError
from gentianhoist.settings import OperatorSettings, OrganisationSettings

_SCHEME = "Bearer "


def authenticate(
    authorization: str, accounts: Sequence[OrganisationSettings | OperatorSettings]
) -> str:
    """Find who a key belongs to.

    All known keys are compared, each in constant time, so that the time of the answer
    tells nothing about them.

    Args:
        authorization: The header.
        accounts: Who may call.

    Returns:
        The name.

    Raises:
        HoistError: If the key is nobody's.
    """
    key = authorization.removeprefix(_SCHEME) if authorization else ""
    digest = hashlib.sha256(key.encode()).hexdigest()
    names = [
        item.name
        for item in accounts
        if hmac.compare_digest(digest, item.api_key_sha256)
    ]
    if not authorization.startswith(_SCHEME) or not names:
        raise HoistError(
            ErrorKind.UNAUTHENTICATED,
            "the API key is missing or unknown",
            field="Authorization",
        )
    return names[0]
