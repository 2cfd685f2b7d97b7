"""Client of an engine that answers a request twice."""

import asyncio

import msgspec

from gentianhoist.backends import EngineClient


def _response(streams: list[str]) -> bytes:
    body = msgspec.json.encode({"boot_id": "1", "streams": streams})
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


# Guards against: the second response to a request is taken for that to the next one.
async def test_second_response_reaches_no_other_request():
    answered = 0

    async def serve(reader, writer) -> None:
        nonlocal answered
        late = b""
        while True:
            try:
                await reader.readuntil(b"\r\n\r\n")
            except asyncio.IncompleteReadError:
                break
            answered += 1
            response = _response([f"s{answered}"])
            writer.write(late + response)
            late = response
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    client = EngineClient(f"http://127.0.0.1:{port}", 1.0, lambda boot_id: None)
    await client.start()
    assert [await client.list_streams() for _ in range(3)] == [["s1"], ["s2"], ["s3"]]
    await client.close()
    server.close()
