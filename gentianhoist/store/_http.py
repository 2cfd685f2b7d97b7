"""HTTP client of the platform's services."""

from __future__ import annotations

import base64
from collections.abc import Sequence
from typing import Any

import aiohttp
import msgspec

from gentianhoist.store.core import (
    NO_HISTORY,
    Check,
    ConditionFailed,
    ListedInstance,
    Row,
    StoreInDoubt,
    StoreUnavailable,
    StoreVersion,
    Transaction,
    join_version,
    split_version,
)

_CONFLICT = 409
_NOT_FOUND = 404


class _WireRow(msgspec.Struct):
    key: str
    version: int
    writer: str
    value: str


class _WireRows(msgspec.Struct):
    rows: list[_WireRow]
    history: int = NO_HISTORY


class _WireResult(msgspec.Struct):
    history: int = NO_HISTORY


class _WireInstances(msgspec.Struct):
    instances: list[ListedInstance]


class HttpPlatform:
    """Client of the table service, object store, weight store and instance list.

    Implements `TableClient`. Call `start` before the first request.

    Args:
        url: Base URL of the platform.
        timeout_s: Seconds until a request without a response counts as failed.

    Attributes:
        read_count: Number of table reads and scans sent.
        write_count: Number of table transactions sent.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._session: aiohttp.ClientSession | None = None
        self.read_count = 0
        self.write_count = 0
        self._history = NO_HISTORY

    @property
    def history(self) -> int:
        """Latest history that a response of the table service has named."""
        return self._history

    async def start(self) -> None:
        """Open the HTTP session."""
        self._session = aiohttp.ClientSession(timeout=self._timeout)

    async def close(self) -> None:
        """Close the HTTP session and its connections."""
        if self._session is not None:
            await self._session.close()

    async def transact(self, transaction: Transaction) -> None:
        """Execute a transaction; see `TableClient.transact`."""
        self.write_count += 1
        body = {
            "transaction_id": transaction.id,
            "checks": [_encode_check(check) for check in transaction.checks],
            "puts": [
                {"key": put.key, "value": base64.b64encode(put.value).decode()}
                for put in transaction.puts
            ],
            "deletes": list(transaction.deletes),
        }
        try:
            status, data = await self._post("/table/transact", body)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailable(str(error)) from error
        except (TimeoutError, aiohttp.ClientError) as error:
            raise StoreInDoubt(transaction.id) from error
        if status == _CONFLICT:
            raise ConditionFailed(tuple(self._decode_rows(data)))
        if status != 200:
            raise StoreInDoubt(transaction.id)
        self._observe_history(msgspec.json.decode(data, type=_WireResult).history)

    async def read(self, keys: Sequence[str]) -> list[Row]:
        """Read rows by key; see `TableClient.read`."""
        data = await self._post_read("/table/read", {"keys": list(keys)})
        return self._decode_rows(data)

    async def scan(self, prefix: str, limit: int, after: str = "") -> list[Row]:
        """Read rows by key prefix; see `TableClient.scan`."""
        body = {"prefix": prefix, "limit": limit, "after": after}
        return self._decode_rows(await self._post_read("/table/scan", body))

    async def fetch_instances(self) -> list[ListedInstance]:
        """Fetch the platform's instance list.

        Returns:
            All listed instances.

        Raises:
            StoreUnavailable: If there is no response, or one with an error status.
        """
        data = await self._request("GET", "/instances")
        return msgspec.json.decode(data, type=_WireInstances).instances

    async def put_object(self, name: str, data: bytes) -> None:
        """Write an object to the object store.

        Args:
            name: Name of the object.
            data: Content of the object.

        Raises:
            StoreUnavailable: If there is no response, or one with an error status.
        """
        await self._request("PUT", f"/objects/{name}", data)

    async def get_object(self, name: str) -> bytes:
        """Fetch an object from the object store.

        Args:
            name: Name of the object.

        Returns:
            Content of the object.

        Raises:
            StoreUnavailable: If there is no response, or one with an error status.
        """
        return await self._request("GET", f"/objects/{name}")

    async def delete_object(self, name: str) -> None:
        """Delete an object from the object store.

        Args:
            name: Name of the object.

        Raises:
            StoreUnavailable: If there is no response, or one with an error status.
        """
        await self._request("DELETE", f"/objects/{name}")

    async def fetch_weights(self, model: str) -> bytes:
        """Fetch a model's weights from the rate-limited weight store.

        Args:
            model: Name of the model.

        Returns:
            The weights.

        Raises:
            StoreUnavailable: If there is no response, or one with an error status,
                such as HTTP 429 when the rate limit is exceeded.
        """
        return await self._request("GET", f"/weights/{model}")

    def _observe_history(self, history: int) -> None:
        self._history = max(self._history, history)

    def _decode_rows(self, data: bytes) -> list[Row]:
        page = msgspec.json.decode(data, type=_WireRows)
        self._observe_history(page.history)
        return [
            Row(
                row.key,
                join_version(StoreVersion(page.history, row.version)),
                row.writer,
                base64.b64decode(row.value),
            )
            for row in page.rows
        ]

    async def _post_read(self, path: str, body: Any) -> bytes:
        self.read_count += 1
        return await self._request("POST", path, msgspec.json.encode(body))

    async def _post(self, path: str, body: Any) -> tuple[int, bytes]:
        assert self._session is not None, "call start() before the first request"
        data = msgspec.json.encode(body)
        async with self._session.post(self._url + path, data=data) as response:
            return response.status, await response.read()

    async def _request(
        self, method: str, path: str, body: bytes | None = None
    ) -> bytes:
        assert self._session is not None, "call start() before the first request"
        try:
            async with self._session.request(
                method, self._url + path, data=body
            ) as response:
                data = await response.read()
        except (TimeoutError, aiohttp.ClientError) as error:
            raise StoreUnavailable(str(error)) from error
        if response.status >= 400:
            raise StoreUnavailable(f"{path}: HTTP {response.status}")
        return data


def _encode_check(check: Check) -> dict[str, object]:
    version = split_version(check.version)
    return {
        "key": check.key,
        "version": version.number,
        "history": version.history,
    }
