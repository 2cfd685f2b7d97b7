"""Tests of the HTTP API for callers, over real HTTP against an embedded fleet."""

import asyncio

import aiohttp
import openai
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianhoist.calls import new_idempotency_key
from gentianhoist.demo import EmbeddedFleet
from gentianhoist.standins import expected_texts

_TOKENS = 12


@pytest.fixture
def client(fleet: EmbeddedFleet) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        base_url=f"{fleet.entry_url()}/v1",
        api_key=fleet.organisation_api_key,
        max_retries=0,
    )


def _headers(fleet: EmbeddedFleet, **headers: str) -> dict[str, str]:
    renamed = {name.replace("_", "-"): value for name, value in headers.items()}
    return {"Authorization": f"Bearer {fleet.organisation_api_key}", **renamed}


async def test_client_library_completes(client):
    prompt = "Draft the artwork brief for the Lautoka league."
    completion = await client.completions.create(
        model="planner", prompt=prompt, max_tokens=_TOKENS
    )
    assert completion.choices[0].text == "".join(expected_texts(prompt, _TOKENS))
    assert completion.usage.completion_tokens == _TOKENS


async def test_client_library_streams(client):
    prompt = "user: Ice log for sheet four.\n"
    stream = await client.chat.completions.create(
        model="planner",
        messages=[{"role": "user", "content": "Ice log for sheet four."}],
        max_tokens=_TOKENS,
        stream=True,
    )
    text = ""
    async for chunk in stream:
        text += chunk.choices[0].delta.content or ""
    assert text == "".join(expected_texts(prompt, _TOKENS))


async def test_client_library_lists_models(client):
    models = await client.models.list()
    assert [model.id for model in models.data] == ["planner"]


async def test_client_library_gets_typed_errors(client, fleet):
    with pytest.raises(openai.NotFoundError) as caught:
        await client.completions.create(model="absent", prompt="x")
    assert caught.value.body["param"] == "model"
    assert caught.value.body["not_run"] is True
    unknown_client = openai.AsyncOpenAI(
        base_url=f"{fleet.entry_url()}/v1", api_key="wrong", max_retries=0
    )
    with pytest.raises(openai.AuthenticationError):
        await unknown_client.models.list()


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"{", None),
        (b"[]", None),
        (b'{"prompt": "x"}', "model"),
        (b'{"model": "planner", "prompt": 3}', "prompt"),
        (b'{"model": "planner", "prompt": ""}', "prompt"),
        (b'{"model": "planner", "prompt": ["a", "b"]}', "prompt"),
        (b'{"model": "planner", "prompt": "x", "max_tokens": -1}', "max_tokens"),
        (b'{"model": "planner", "prompt": "x", "max_tokens": 2000000}', "prompt"),
        (b'{"model": "planner", "prompt": "x", "n": 2}', "n"),
        (b'{"model": "planner", "prompt": "x", "tools": []}', "tools"),
    ],
)
async def test_bad_body_is_refused_naming_the_field(fleet, session, body, field):
    async with session.post(
        f"{fleet.entry_url()}/v1/completions", data=body, headers=_headers(fleet)
    ) as response:
        error = (await response.json())["error"]
    assert response.status == 400
    assert error["param"] == field
    assert error["not_run"] is True


@pytest.mark.parametrize(
    ("header", "value"),
    [
        ("X-Deadline-S", "-1"),
        ("X-Deadline-S", "soon"),
        ("X-Deadline-S", "nan"),
        ("X-Priority", "highest"),
        ("X-Request-Id", "a b"),
    ],
)
async def test_bad_header_is_refused_naming_it(fleet, session, header, value):
    async with session.post(
        f"{fleet.entry_url()}/v1/completions",
        json={"model": "planner", "prompt": "x"},
        headers={**_headers(fleet), header: value},
    ) as response:
        assert response.status == 400
        assert (await response.json())["error"]["param"] == header


async def test_body_over_the_limit_is_refused(fleet, session):
    size = fleet.deployment_settings().limits.body_bytes + 1
    async with session.post(
        f"{fleet.entry_url()}/v1/completions",
        data=b" " * size,
        headers=_headers(fleet),
    ) as response:
        assert response.status == 413
        assert (await response.json())["error"]["code"] == "body_too_large"


@pytest.mark.parametrize(
    "length_headers",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        b"Content-Length: -4\r\n",
        b"Content-Length: four\r\n",
    ],
)
async def test_ambiguous_length_executes_nothing(fleet, length_headers):
    """A body of ambiguous length must not smuggle in a second request."""
    host, port = fleet.entry_url().removeprefix("http://").split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    key = new_idempotency_key()
    smuggled_request = (
        b"POST /v1/services/valve-control/flood HTTP/1.1\r\nHost: x\r\n"
        b"Authorization: Bearer key-club\r\nIdempotency-Key: " + key.encode() + b"\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    writer.write(
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        + length_headers
        + b"\r\n0\r\n\r\n"
    )
    writer.write(smuggled_request)
    await writer.drain()
    async with asyncio.timeout(5):
        first_line = await reader.readline()
    writer.close()
    await asyncio.sleep(0.2)
    execution_count = sum(service.executions[key] for service in fleet.services)
    assert execution_count == 0, first_line


@settings(max_examples=60)
@given(body=st.binary(max_size=200) | st.text(max_size=80).map(str.encode))
def test_parser_accepts_or_rejects_any_body(body):
    """For any bytes the parser returns a request or raises a 400 error."""
    from gentianhoist.entry._openai import parse_generation
    from gentianhoist.exceptions import HoistError

    for chat in (False, True):
        try:
            parse_generation(body, chat=chat)
        except HoistError as error:
            assert error.response.status == 400


async def test_disconnected_caller_frees_the_engine(fleet, session):
    body = {
        "model": "planner",
        "prompt": "A long review. " * 200,
        "max_tokens": 2000,
        "stream": True,
    }
    response = await session.post(
        f"{fleet.entry_url()}/v1/completions", json=body, headers=_headers(fleet)
    )
    await response.content.readline()
    assert any(engine.simulator.stream_ids for engine in fleet.engines)
    response.close()
    async with asyncio.timeout(5):
        while any(engine.simulator.stream_ids for engine in fleet.engines):
            await asyncio.sleep(0.02)


async def test_deadline_too_short_is_refused(fleet, session):
    async with session.post(
        f"{fleet.entry_url()}/v1/completions",
        json={"model": "planner", "prompt": "x" * 400_000, "max_tokens": 10},
        headers=_headers(fleet, X_Deadline_S="0.5"),
    ) as response:
        error = (await response.json())["error"]
    assert response.status == 422
    assert error["code"] == "deadline_too_short"
    assert error["not_run"] is True


async def test_repeated_key_executes_once_and_rejects_another_body(fleet, session):
    key = new_idempotency_key()
    url = f"{fleet.entry_url()}/v1/services/valve-control/flood"
    headers = _headers(fleet, Idempotency_Key=key)
    for _ in range(3):
        async with session.post(url, data=b"sheet 2", headers=headers) as response:
            assert response.status == 200
            assert (await response.json())["executions"] == 1
    async with session.post(url, data=b"sheet 3", headers=headers) as response:
        assert response.status == 409
        assert (await response.json())["error"]["code"] == "idempotency_key_reused"
    assert sum(service.executions[key] for service in fleet.services) == 1


@pytest.mark.parametrize(
    ("key", "code"),
    [
        ("", "idempotency_key_required"),
        ("valve-1", "idempotency_key_invalid"),
        (new_idempotency_key(wall_s=1_000_000.0), "idempotency_key_expired"),
        (new_idempotency_key(wall_s=4_000_000_000.0), "idempotency_key_invalid"),
    ],
)
async def test_missing_or_invalid_key_executes_nothing(fleet, session, key, code):
    async with session.post(
        f"{fleet.entry_url()}/v1/services/valve-control/flood",
        data=b"",
        headers=_headers(fleet, Idempotency_Key=key),
    ) as response:
        assert (await response.json())["error"]["code"] == code
    assert sum(service.executions[key] for service in fleet.services) == 0


async def test_idempotent_operation_needs_no_key(fleet, session):
    async with session.post(
        f"{fleet.entry_url()}/v1/services/valve-control/status",
        data=b"",
        headers=_headers(fleet),
    ) as response:
        assert response.status == 200


async def test_health(fleet, session: aiohttp.ClientSession):
    for path in ("livez", "readyz"):
        async with session.get(f"{fleet.entry_url()}/{path}") as response:
            assert response.status == 200
