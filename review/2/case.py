"""A release of the engines: two software versions serve side by side, and those of v1 leave. All machines are killed at once
and start again; clients take up their streams, which began at v1. Each session had an earlier request, at v2."""

import asyncio
import os
import re
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import lab as standin
from lab import BOUNDS, BROKEN, HELD, TROUBLE, Runner, open_channel, read_head, request_bytes, route

SESSIONS = 14
RETRY_AFTER_S = 1.5
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1e3


async def play(lab):
    record, port = lab.record, lab.ports["front"]
    engine = {"slots": 64, "events": 60, "event_ms": 100}
    newer = [Runner(lab, "llm", stage="prefill", version="v2", **engine),
             Runner(lab, "llm", stage="decode", version="v2", **{**engine, "event_ms": 10})]
    older = [Runner(lab, "llm", stage="prefill", version="v1", **engine),
             Runner(lab, "llm", stage="decode", version="v1", **engine)]
    routes = [route("summary", "/summary/", "streaming", "llm", timeout_ms=14000, target_ms=900, resumable=True,
                    sticky_sessions=True, gap_target_ms=300, attempts=2)]
    await lab.open(lab.manifest(routes, engines=["llm"]), newer)

    class Client:
        def __init__(self, number):
            self.session = f"{0x5e550000 + number:x}"
            self.first_request = None
            self.last_id = 0
            self.versions = []
            self.is_complete = False

        async def attempt(self, vm):
            """One client attempt; takes up the stream if it has begun."""
            request = lab.next_id()
            model = [("Model", "m"), ("Token-Counts", "2200,60"), ("Prompt-Prefix", f"c0ffee:200,{self.session}:2000")]
            if self.last_id:
                model += [("Last-Event-Id", self.last_id), ("Resumes", self.first_request)]
            status = None
            try:
                reader, writer = await open_channel(vm.address, port)
                writer.write(request_bytes("POST", "/summary/1", lab.headers(request, 14000, *model), b"{}"))
                head = await read_head(reader)
                status = head and int(head[0].split(" ")[1])
                text = b""
                while status == 200:
                    data = await reader.read(4096)
                    text += data
                    for number, version in re.findall(rb"id: (\d+)\ndata: (v\d)", text):
                        if int(number) > self.last_id:
                            self.first_request = self.first_request or request
                            self.last_id = int(number)
                            if version not in self.versions:
                                self.versions.append(version)
                    if text.endswith(b"0\r\n\r\n"):
                        self.is_complete = True
                    if not data or self.is_complete:
                        break
                writer.close()
            except (OSError, asyncio.TimeoutError):
                pass
            record("session", self.session, "request", request, "at", vm.name, "status", status, "last event", self.last_id,
                   "of", *[version.decode() for version in self.versions], "complete" if self.is_complete else "broken off")

        async def play(self, number):
            """The request, and one retry, as on the sheet."""
            await self.attempt(lab.vms[number % len(lab.vms)])
            if not self.is_complete:
                await asyncio.sleep(RETRY_AFTER_S)
                await self.attempt(lab.vms[(number + 1) % len(lab.vms)])

    # Each session has a request while only the newer version serves.
    await asyncio.gather(*[Client(number).play(number) for number in range(SESSIONS)])
    record("the earlier requests of all sessions have ended at v2")
    newer[1].event_ms = 100
    for runner in older:
        await runner.open()
        runner.register()
    lab.runners += older
    record("runners of v1 serve too")
    await asyncio.sleep(1.5)
    clients = [Client(number) for number in range(SESSIONS)]
    tasks = [asyncio.create_task(client.play(number)) for number, client in enumerate(clients)]
    await asyncio.sleep(1)
    for runner in older:
        runner.state, runner.is_leaving = "draining", True
        runner.register()
    record("the store confirms that the runners of v1 are draining")
    leaving = asyncio.create_task(leave(lab, older))
    await asyncio.sleep(1.5)
    if TROUBLE:
        for vm in lab.vms:
            vm.signal(signal.SIGKILL)
        for vm in lab.vms:
            vm.process.wait()
        await asyncio.sleep(0.5)
        for vm in lab.vms:
            vm.start()
    await asyncio.gather(leaving, *tasks)
    mixed = [client.session for client in clients if len(client.versions) > 1]
    record("streams that hold events of two software versions:", len(mixed), "of", len(clients))
    return BROKEN if len(mixed) > 2 else HELD


async def leave(lab, runners):
    """Leaves once the drain timeout has passed and what is in progress has ended."""
    await asyncio.sleep(DRAIN_S)
    while any(runner.running for runner in runners):
        await asyncio.sleep(0.05)
    for runner in runners:
        lab.store.write(f"servers/{runner.name}", None)
        runner.end()
    lab.record("the runners of v1 have left")


standin.main(play)
