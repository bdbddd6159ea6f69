"""A drill: the store is away for a moment and comes back from a copy some seconds old. Later a runner leaves."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import lab as standin
from lab import BOUNDS, BROKEN, HELD, TROUBLE, Runner, call, route

HEARTBEAT_S = 1.2
DRAIN_S = BOUNDS["drain_timeout_ms"] / 1e3
STABILITY_S = BOUNDS["stability_window_ms"] / 1e3


async def play(lab):
    record, store, port = lab.record, lab.store, lab.ports["front"]
    routes = [route("topup", "/topup/", "non_idempotent", "payments")]
    manifest = lab.manifest(routes, plain=["payments"])
    await lab.open(manifest, [Runner(lab, "payments", zone=zone) for zone in ("zone-a", "zone-b")])

    async def topup(vm):
        request = lab.next_id()
        got = await call(vm.address, port, "POST", "/topup/1", lab.headers(request, 1500), b"{}")
        record("topup", request, "at", vm.name, got)
        return request, got

    async def traffic(seconds):
        """Two top-ups a second at each machine."""
        until = record.now() + seconds
        while record.now() < until:
            await asyncio.gather(*[topup(vm) for vm in lab.vms])
            await asyncio.sleep(0.44)

    copy = store.copy()
    record("the copy is made at revision", store.revision)
    # Two runners are added. For their first seconds they are slow, and say so: their entries change at each report.
    added = [Runner(lab, "payments", zone="zone-c"), Runner(lab, "payments", zone="zone-a")]
    lab.runners += added
    for runner in added:
        runner.cold_left_ms = 4800
        await runner.open()
        runner.register()
    load = asyncio.create_task(traffic(5.5))
    for _ in range(4):
        await asyncio.sleep(HEARTBEAT_S)
        for runner in added:
            runner.cold_left_ms -= 1200
            runner.register()
    await load
    record("the added runners are listed up to revision", store.revision)
    if TROUBLE:
        store.stop()
        record("the store is away")
        await asyncio.sleep(1)
        await store.come_back(copy)
        record("the store is back, era", store.era, "revision", store.revision)
        # The operator and the runners write again what they wrote since.
        store.write("op/config", manifest)
        for runner in added:
            runner.register()
        record("what was lost is written again, up to revision", store.revision)
    await traffic(2 * STABILITY_S)
    leaving = added[0]
    leaving.state, leaving.is_leaving = "draining", True
    revision = leaving.register()
    confirmed_at = record.now()
    record("the store confirms at revision", revision, "that", leaving.name, "is draining")
    # Nobody asks for anything for a while; then some do at once.
    await asyncio.sleep(DRAIN_S + 0.5)
    tasks = [asyncio.create_task(topup(vm)) for _ in range(8) for vm in lab.vms]
    await asyncio.sleep(0.03)
    # It has served for longer than it had to.
    leaving.end()
    record(leaving.name, "exits")
    results = await asyncio.gather(*tasks)
    late = {request for at, request in leaving.runs if at > confirmed_at + DRAIN_S}
    lost = [request for request, got in results if request in late and got.status != 200]
    record("requests that reached the leaving runner over", DRAIN_S, "s after the confirmation:", len(late))
    record("of these, top-ups that it began and whose answer was lost as it exited:", len(lost))
    return BROKEN if late else HELD


standin.main(play)
