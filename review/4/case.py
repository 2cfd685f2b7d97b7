"""Requests that wait for a place when the grace period of their entry ends."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins.client import Answer, Client
from standins.deployment import BROKEN, HELD, Deployment, has_trouble, main
from standins.server import Run, Server

_ENGINES = 3
_DESKS = 3
_AUDITS = 18
_PROMPT_TOKENS = 133_000
# Time to read such a prompt on an idle model server of the site.
_READ_S = 1.87
# As in a burst of the site: 1.12 audits a second x 2.9.
_AUDIT_INTERVAL_S = 0.31
_STOP_AFTER_S = 2.5
_GRACE_S = 8.0
_LOSS_SLACK_S = 0.2
_CLOSED = ("closed without an answer", "ConnectionResetError")


class Engine(Server):
    """A sound model server that reads one prompt after the other."""

    def __init__(self, deployment: Deployment, number: int) -> None:
        super().__init__(
            f"i-e{number:07x}",
            "flight-assist",
            "lautoka-a",
            deployment.store,
            deployment.record,
            streaming=True,
            events=16,
            event_interval_s=0.06,
        )
        self._deployment = deployment
        self._reading = asyncio.Lock()

    async def read_part(self, share: float) -> None:
        """Read a part of a prompt once those before it have been read."""
        async with self._reading:
            await asyncio.sleep(_READ_S * share)

    async def run(
        self, run: Run, headers: list[tuple[str, str]], writer: asyncio.StreamWriter
    ) -> None:
        """Read the prompt in even parts with the helpers, then write the answer."""
        named = (run.request.get("Helpers") or "").split(",")
        addresses = {item.partition("/")[0] for item in named} | {self.address}
        engines = [
            server
            for server in self._deployment.servers.values()
            if isinstance(server, Engine) and server.address in addresses
        ]
        share = 1 / len(engines)
        await asyncio.gather(*(engine.read_part(share) for engine in engines))
        await super().run(run, headers, writer)


async def run(folder: Path) -> int:
    """Stop an entry with SIGTERM; what waits at it must be answered or refused."""
    async with Deployment(folder) as deployment:
        record = deployment.record
        for number in range(_ENGINES):
            await deployment.add_server(Engine(deployment, number))
        for number in range(_DESKS):
            await deployment.add_server(deployment.desk(number))
        await deployment.start_entries()
        entry = deployment.entries[0]

        async def audit(number: int) -> Answer:
            client = Client(lambda: entry.address, record)
            try:
                first = await client.call("/proof/1", method="GET", deadline_ms=2000)
                if first.status != 200:
                    raise RuntimeError("the lookup before the audit was not served")
                await begin.wait()
                await asyncio.sleep(_AUDIT_INTERVAL_S * number)
                return await client.call(
                    "/audit/1",
                    body=b"{}",
                    deadline_ms=15_000,
                    headers=[
                        ("Model", "m"),
                        ("Token-Count", f"{_PROMPT_TOKENS},700"),
                        ("Prefix-Hash", f"5c1e07a2:40,{number + 1:08x}:132960"),
                    ],
                )
            finally:
                client.close()

        begin = asyncio.Event()
        audits = [asyncio.create_task(audit(number)) for number in range(_AUDITS)]
        await asyncio.sleep(1.0)
        begin.set()
        await asyncio.sleep(_STOP_AFTER_S)
        stopped_s = asyncio.get_running_loop().time()
        if has_trouble():
            entry.send_signal(signal.SIGTERM)
            record.write("SIGTERM to the entry")
        answers = await asyncio.gather(*audits)
        ran = {
            item.id for server in deployment.servers.values() for item in server.runs
        }
        # The rule excuses what a server is still at work on when the grace period ends.
        lost = [
            item
            for item in answers
            if item.id not in ran
            and item.fault.startswith(_CLOSED)
            and item.ended_s - item.sent_s > _LOSS_SLACK_S
            and item.ended_s < stopped_s + _GRACE_S + 1.0
        ]
        served = sum(item.status == 200 and not item.fault for item in answers)
        refused = sum(item.status in {429, 503} for item in answers)
        record.write(
            f"{len(answers)} audits: {served} served, {refused} refused, {len(lost)}"
            " never sent to a server and ended without an answer"
        )
        if not served:
            raise RuntimeError("no audit was served")
        return BROKEN if has_trouble() and lost else HELD


main(Path(__file__).resolve().parent, run)
