"""A runner in trouble sends interim heads without end, until its caller closes. Another runner is sound."""

import asyncio
import multiprocessing
import os
import socket
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import lab as standin
from lab import BROKEN, HELD, TROUBLE, Runner, call, open_channel, route

PIECE = b"HTTP/1.1 100 Continue\r\n\r\n" * (1 << 16)
TIMEOUT_S = 1.5


def flood(listener, sent):
    """The runner in trouble, a process of its own."""
    while True:
        channel, _ = listener.accept()
        threading.Thread(target=flood_channel, args=(channel, sent), daemon=True).start()


def flood_channel(channel, sent):
    try:
        if channel.recv(65536):
            while True:
                channel.sendall(PIECE)
                with sent.get_lock():
                    sent.value += len(PIECE)
    except OSError:
        pass


def processor_seconds(process):
    with open(f"/proc/{process.pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


async def play(lab):
    sound = Runner(lab, "payments", work_ms=60)
    routes = [route("topup", "/topup/", "non_idempotent", "payments", timeout_ms=TIMEOUT_S * 1e3)]
    await lab.open(lab.manifest(routes, plain=["payments"]), [sound])
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(64)
    context = multiprocessing.get_context("fork")
    bytes_sent = context.Value("q", 0)
    runner = context.Process(target=flood, args=(listener, bytes_sent), daemon=True)
    runner.start()
    listener_address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    if TROUBLE:
        lab.store.write("servers/i-0badbad0", {**sound.entry(), "address": listener_address, "sequence": 1})
    await asyncio.sleep(1)
    vm, port = lab.vms[0], lab.ports["front"]
    unanswered = sent = 0

    async def topup():
        nonlocal unanswered, sent
        request = lab.next_id()
        sent += 1
        started_at = lab.record.now()
        try:
            channel = await open_channel(vm.address, port)
            got = await asyncio.wait_for(
                call(vm.address, port, "POST", "/topup/1", lab.headers(request, int(TIMEOUT_S * 1e3)), b"{}", channel=channel), 10)
        except (OSError, asyncio.TimeoutError) as error:
            got = repr(error)
        took = lab.record.now() - started_at
        unanswered += took > TIMEOUT_S + 0.5
        lab.record("topup", request, "at", vm.name, got, f"after {took:.3f} s")

    payments = []
    before = lab.record.now(), processor_seconds(vm.process)
    for turn in range(12):
        payments += [asyncio.create_task(topup()) for _ in range(2)]
        await asyncio.sleep(0.5)
    await asyncio.gather(*payments)
    ready = [await vm.is_ready(1) for _ in range(3)]
    lab.record("readyz answers within a second:", ready, "process ended:", vm.has_ended())
    used = processor_seconds(vm.process) - before[1]
    lab.record(f"in {lab.record.now() - before[0]:.1f} s the process used {used:.1f} s of a core, and the runner in trouble",
               f"sent {bytes_sent.value / 1e6:.0f} MB")
    runner.kill()
    await asyncio.sleep(2)
    lab.record("2 s after the runner in trouble has ended, readyz answers:", await vm.is_ready(1))
    lab.record("top-ups:", sent, "without an answer half a second after the route's timeout:", unanswered)
    return BROKEN if unanswered > sent / 2 else HELD


standin.main(play)
