"""A faulty model server sends blank lines without end as the body of a stream."""

import asyncio
import sys
from functools import partial
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.balancer import Balancer
from standins.client import Answer, Client
from standins.deployment import BROKEN, HELD, Deployment, has_trouble, main
from standins.server import Run, Server

_ENGINES = 4
_DESKS = 3
_CLIENTS = 24
_LASTS_S = 26.0
# Clients leave a stream after 2 s without an event.
_STREAM_PATIENCE_S = 2.0
_TIMEOUT_S = 3.0
# CONFIG counts answers until half a second after the timeout.
_SLACK_S = 0.5
_MIN_UNANSWERED = 8
_LINES = b"\n" * 65_536


class FaultyEngine(Server):
    """Answers with bytes that are no answer, until the caller closes."""

    async def run(
        self, run: Run, headers: list[tuple[str, str]], writer: asyncio.StreamWriter
    ) -> None:
        """Answer with blank lines without end."""
        if not has_trouble():
            await super().run(run, headers, writer)
            return
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        lines += ["Content-Type: text/event-stream", "Connection: close"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        sent = 0
        self._record.write(f"{self.id} begins to send blank lines to {run.id}")
        try:
            while True:
                writer.write(_LINES)
                await writer.drain()
                sent += len(_LINES)
        finally:
            self._record.write(f"{self.id}: the caller has closed after {sent} bytes")


async def run(folder: Path) -> int:
    """Send requests on all routes; those that take too long must end in time."""
    async with Deployment(folder, entries=2) as deployment:
        record = deployment.record
        for number in range(_ENGINES):
            engine = deployment.engine(number)
            if number == 0:
                engine = FaultyEngine(
                    engine.id,
                    "flight-assist",
                    "lautoka-a",
                    deployment.store,
                    record,
                    streaming=True,
                )
            await deployment.add_server(engine)
        for number in range(_DESKS):
            await deployment.add_server(deployment.desk(number))
        await deployment.start_entries()
        balancer = Balancer(deployment.entries, record)
        balancer.start()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _LASTS_S

        async def queue_jobs(number: int) -> list[Answer]:
            client = Client(lambda: balancer.choose(number), record)
            answers = []
            while loop.time() < end_s:
                answers.append(
                    await client.call("/press/queue", body=b"{}", deadline_ms=6000)
                )
                await asyncio.sleep(1.0)
            client.close()
            return answers

        async def ask_briefs() -> None:
            number = 0
            await asyncio.sleep(2.0)
            while loop.time() < end_s:
                client = Client(partial(balancer.choose, number), record)
                headers = [
                    ("Model", "m"),
                    ("Token-Count", "5000,1360"),
                    ("Prefix-Hash", f"5c1e07a2:40,{number + 1:08x}:4960"),
                ]
                await client.call(
                    "/brief/1",
                    body=b"{}",
                    deadline_ms=10_000,
                    patience_s=_STREAM_PATIENCE_S,
                    headers=headers,
                )
                client.close()
                number += 1
                await asyncio.sleep(0.5)

        briefs = asyncio.create_task(ask_briefs())
        jobs = await asyncio.gather(*(queue_jobs(n) for n in range(_CLIENTS)))
        await briefs
        balancer.close()
        answers = [answer for of_client in jobs for answer in of_client]
        took_s = [
            answer.ended_s - answer.sent_s
            for answer in answers
            if answer.status or answer.fault == "no answer in time"
        ]
        unanswered = [item for item in took_s if item > _TIMEOUT_S]
        late = [item for item in took_s if item > _TIMEOUT_S + _SLACK_S]
        record.write(
            f"{len(answers)} jobs, {len(unanswered)} unanswered at the timeout of"
            f" {_TIMEOUT_S} s, {len(late)} still without an answer {_SLACK_S} s later"
        )
        if sum(answer.status == 200 for answer in answers) < _MIN_UNANSWERED:
            raise RuntimeError("too few requests were served")
        is_broken = len(late) >= _MIN_UNANSWERED and 2 * len(late) > len(unanswered)
        return BROKEN if is_broken else HELD


main(Path(__file__).resolve().parent, run)
