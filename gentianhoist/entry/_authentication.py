"""Authentication of callers and operators by API key."""

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
    """Return the name of the account that an API key belongs to.

    The key is compared with those of all accounts, each in constant time, so that the
    response time discloses nothing about them.

    Args:
        authorization: Value of the ``Authorization`` header.
        accounts: Organisations or operators that may call.

    Returns:
        Name of the account.

    Raises:
        HoistError: If the key is missing or belongs to no account.
    """
    key = authorization.removeprefix(_SCHEME) if authorization else ""
    digest = hashlib.sha256(key.encode()).hexdigest()
    names = [
        account.name
        for account in accounts
        if hmac.compare_digest(digest, account.api_key_sha256)
    ]
    if not authorization.startswith(_SCHEME) or not names:
        raise HoistError(
            ErrorKind.UNAUTHENTICATED,
            "the API key is missing or unknown",
            field="Authorization",
        )
    return names[0]
