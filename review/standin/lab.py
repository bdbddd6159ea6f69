"""Stand-ins for the scripts of the review: the platform's store, runners and clients, in one process, and the
project's own program as separate processes. They follow PROTOCOL.md and DEPLOY.md; only the standard library is used."""

import asyncio
import base64
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD, BROKEN, UNABLE = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "stability_window_ms": 3000, "ack_timeout_ms": 4000, "catch_up_s": 4,
          "drain_timeout_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
          "downgrade_slack_ms": 250, "max_skew_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
          "budget_slack": 54, "recovery_s": 12, "transit_ms": 120, "reuse_window_s": 3, "enforce_fencing": True,
          "lease_ms": 3000, "thaw_slack_ms": 300, "ttl_max_s": 5}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "platform"]


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, directory):
        self.start = time.monotonic()
        self.file = open(os.path.join(directory, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, *words):
        line = f"{self.now():8.3f}  " + " ".join(str(word) for word in words)
        self.file.write(line + "\n")
        self.file.flush()


def free_port(addresses):
    """A port that is free on all these addresses."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
            return port
        except OSError:
            continue
    raise RuntimeError("no free port")


async def read_head(reader):
    """The first line and the headers (names in lower case) of a message; None at the end of the channel."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = text.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """The whole body of a message that has a length or chunks."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Server:
    """An HTTP/1.1 server on a loopback address. `handle(method, target, headers, body, writer)` writes the answer."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.channels = set()
        self.server = None
        self.port = None

    async def open(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port or 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def endpoint(self):
        return f"{self.address}:{self.port}"

    async def serve(self, reader, writer):
        self.channels.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, headers = head
                body = await read_body(reader, headers)
                method, target, _ = line.split(" ", 2)
                await self.handle(method, target, headers, body, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.channels.discard(writer)
            writer.close()

    def cut(self):
        """Resets all channels."""
        for writer in list(self.channels):
            writer.transport.abort()

    def end(self):
        """Ends as a process does: nothing listens any more, and all channels break."""
        if self.server:
            self.server.close()
            self.server = None
        self.cut()


def answer(writer, status, body=b"", headers=()):
    reason = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request", 503: "Service Unavailable"}
    lines = [f"HTTP/1.1 {status} {reason.get(status, 'Answer')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Store(Server):
    """The platform's store: items, ranges and watches."""

    def __init__(self, record):
        super().__init__("127.0.0.1")
        self.record = record
        self.revision = 100
        self.era = 1
        self.items = {}
        self.events = []
        self.oldest = self.revision
        self.is_down = False
        self.changed = asyncio.Event()

    def write(self, key, value):
        """Writes an item (or removes it, without a value) and confirms it."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
            self.events.append({"key": key, "revision": self.revision, "deleted": True})
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            created = self.items[key]["created"] if key in self.items else self.revision
            item = {"key": key, "value": text, "revision": self.revision, "created": created, "lease": 0}
            self.items[key] = item
            self.events.append(item)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def copy(self):
        return dict(self.items), list(self.events), self.revision

    def stop(self):
        """Away: nothing listens, and all channels break."""
        self.is_down = True
        self.end()

    async def come_back(self, copy=None):
        """Back, from a copy if there is one; then its era rises."""
        if copy:
            items, events, revision = copy
            self.items, self.events, self.revision = dict(items), list(events), revision
            self.era += 1
        self.is_down = False
        await self.open()

    def reply(self, writer, status, value):
        body = json.dumps(value).encode()
        answer(writer, status, body, [("Content-Type", "application/json"), ("Store-Era", self.era)])

    async def handle(self, method, target, headers, body, writer):
        path, _, query = target.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        prefix = fields.get("path_prefix", "")
        await asyncio.sleep(0.004)
        if path == "/kv-range":
            items = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
            return self.reply(writer, 200, {"items": items, "truncated": False, "store_revision": self.revision})
        if path == "/kv-watch":
            after = int(fields["after"])
            if after > self.revision or after < self.oldest:
                return self.reply(writer, 410, {})
            until = time.monotonic() + int(fields["wait_ms"]) / 1e3
            while True:
                events = [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
                left = until - time.monotonic()
                if events or left <= 0:
                    return self.reply(writer, 200, {"events": events, "store_revision": self.revision})
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        if path == "/kv-key" and fields.get("key") in self.items:
            return self.reply(writer, 200, {**self.items[fields["key"]], "store_revision": self.revision})
        self.reply(writer, 404, {})


class Runner(Server):
    """A sound runner. Without a stage it serves plain requests; with one it is a model engine."""

    def __init__(self, lab, service, zone="zone-a", stage=None, slots=6, work_ms=60, answer_bytes=800, events=70,
                 event_ms=5, event_bytes=40, version="v1"):
        super().__init__("127.0.0.1")
        self.lab = lab
        self.name = "i-" + secrets.token_hex(4)
        self.service, self.zone, self.stage, self.slots = service, zone, stage, slots
        self.work_ms, self.answer_bytes = work_ms, answer_bytes
        self.events, self.event_ms, self.event_bytes, self.version = events, event_ms, event_bytes, version
        self.sequence = 0
        self.born = int(time.time() * 1e3)
        self.is_leaving = False
        self.state = "ready"
        self.cold_left_ms = 0
        self.running = 0
        self.handles = set()
        self.runs = []
        # The parts of prompts that it keeps, and how long it takes to list them.
        self.kept = {}
        self.list_ms = 5

    def entry(self):
        self.sequence += 1
        entry = {"service": self.service, "address": self.endpoint, "zone": self.zone, "version": self.version,
                 "slots": self.slots, "state": self.state, "cold_left_ms": self.cold_left_ms, "sequence": self.sequence,
                 "born": self.born}
        if self.stage:
            entry["stage"] = self.stage
            entry["models"] = [{"name": "m", "version": 1, "adapters": []}]
        return entry

    def register(self):
        return self.lab.store.write(f"servers/{self.name}", self.entry())

    def common(self, headers):
        load = f"{self.running},0,{self.slots}"
        common = [("Request-Id", headers.get("request-id", "")), ("Instance-Id", self.name), ("Server-Load", load),
                  ("Keep-Alive", "timeout=15")]
        if self.is_leaving:
            common.append(("Server-Leaving", "1"))
        return common

    async def handle(self, method, target, headers, body, writer):
        common = self.common(headers)
        if target.startswith("/kv-handle/"):
            self.handles.discard(target.rsplit("/", 1)[1])
            return answer(writer, 200, b"", common)
        if target == "/kv-list":
            await asyncio.sleep(self.list_ms / 1e3)
            kept = [["", part, tokens, "m"] for part, tokens in self.kept.items()]
            held = {"epoch": 1, "next": 1, "held": kept, "born": self.born}
            return answer(writer, 200, json.dumps(held).encode(), common)
        if headers.get("expect-instance", self.name) != self.name:
            return answer(writer, 421, b"", common + [("Not-Executed", "1")])
        if headers.get("stage") == "prefill":
            tokens = int(headers["token-counts"].split(",")[0])
            await asyncio.sleep(0.005 + tokens / 55.5 / 1e3 if tokens < 1e6 else 0.005)
            handle = secrets.token_hex(6)
            self.handles.add(handle)
            self.lab.record("prefill", headers["request-id"], "at", self.name, headers["token-counts"])
            value = {"kv_handle": handle, "tokens": tokens, "version": 1}
            return answer(writer, 200, json.dumps(value).encode(), common + [("Content-Type", "application/json")])
        self.running += 1
        try:
            await self.run(method, target, headers, writer, common)
        finally:
            self.running -= 1

    async def run(self, method, target, headers, writer, common):
        request = headers["request-id"]
        self.runs.append((self.lab.record.now(), request))
        self.lab.record("run", request, "at", self.name, "state", self.state, method, target,
                        "deadline-ms", headers.get("deadline-ms"))
        seal = [("Response-Seal", "s." + secrets.token_hex(6))]
        for entry in headers.get("prompt-prefix", "").split(","):
            part, _, tokens = entry.partition(":")
            if part:
                self.kept[part] = int(tokens)
        if self.stage == "decode" or target.startswith("/stream/"):
            lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
            lines += [f"{name}: {value}" for name, value in common + seal]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
            for number in range(int(headers.get("last-event-id", 0)) + 1, self.events + 1):
                await asyncio.sleep(self.event_ms / 1e3)
                event = f"id: {number}\ndata: {self.version} {'x' * self.event_bytes}\n\n".encode()
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
        else:
            await asyncio.sleep(self.work_ms / 1e3)
            answer(writer, 200, b"r" * self.answer_bytes, common + seal)
            await writer.drain()
        self.lab.record("ran", request, "at", self.name)


class Vm:
    """An entry VM: one process of the project's program, as the deploy file runs it."""

    def __init__(self, lab, number, zone):
        self.lab, self.number, self.zone = lab, number, zone
        self.name = f"front-{zone}-{number}"
        self.address = f"127.0.{lab.net}.{number}"
        self.process = None

    def settings(self):
        lab, ports = self.lab, self.lab.ports
        listen = {name: f"{self.address}:{ports[name]}" for name in ("front", "ready", "control", "directory")}
        seeds = [f"{vm.address}:{ports['control']}" for vm in lab.vms[:3]]
        return {"node_name": self.name, "role": "entry", "machine_class": "front",
                "serves": ["front", "control", "directory"], "ip": self.address, "zone": self.zone, "region": "region",
                "zones": {vm.zone: "region" for vm in lab.vms}, "listen": listen, "port_range": [7660, 7675],
                "seeds": seeds, "bootstrap": True, "in_tolerance": False,
                "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 110, "max_fds": 4100, "link_mbps": 1000.0,
                           "disk_mb": 0},
                "data_dir": None, "discovery": "platform", "entry": "directory", "heartbeat_ms": 1200,
                "contracts": CONTRACTS, "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0}, "bounds": BOUNDS,
                "platform": {"address": lab.store.endpoint, "form": "read", "writes_per_s": 400, "reads_per_s": 2000,
                             "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000}}

    def start(self):
        path = os.path.join(self.lab.directory, f"{self.name}.json")
        with open(path, "w") as file:
            json.dump(self.settings(), file)
        keep = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        log = open(os.path.join(self.lab.directory, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen([os.path.join(ROOT, "target/release/hornbeamtiller"), "gateway"], cwd=ROOT,
                                        env={**keep, "HORNBEAMTILLER_SETTINGS": path}, stdout=log, stderr=log)
        self.lab.record("start", self.name, "pid", self.process.pid)

    def signal(self, number):
        self.lab.record("signal", signal.Signals(number).name, "to", self.name)
        self.process.send_signal(number)

    def has_ended(self):
        return self.process.poll() is not None

    async def is_ready(self, timeout=1.0):
        try:
            got = await asyncio.wait_for(call(self.address, self.lab.ports["ready"], "GET", "/readyz"), timeout)
            return got.status == 200
        except (OSError, asyncio.TimeoutError):
            return False


class Got:
    """What a client got: the status (None without a whole head), and whether the answer is complete."""

    def __init__(self):
        self.status, self.headers, self.body, self.is_complete = None, {}, b"", False

    def __str__(self):
        end = "complete" if self.is_complete else "channel ended before a complete answer"
        return f"status {self.status}, {len(self.body)} bytes, {end}"


async def open_channel(address, port, receive_bytes=None):
    channel = socket.socket()
    channel.setblocking(False)
    if receive_bytes:
        channel.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await asyncio.wait_for(asyncio.get_running_loop().sock_connect(channel, (address, port)), 1)
    limit = 2 * receive_bytes if receive_bytes else 1 << 20
    return await asyncio.open_connection(sock=channel, limit=max(limit, 8192))


def request_bytes(method, target, headers, body=b""):
    lines = [f"{method} {target} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def take(reader, pace=None):
    """Reads one answer; `pace` is (bytes, seconds): so much is read each time, then it waits."""
    got = Got()
    head = await read_head(reader)
    if head is None:
        return got
    line, got.headers = head
    got.status = int(line.split(" ")[1])
    is_chunked = got.headers.get("transfer-encoding", "").lower() == "chunked"
    length = int(got.headers.get("content-length", "0"))
    try:
        while is_chunked or len(got.body) < length:
            data = await reader.read(pace[0] if pace else 1 << 16)
            if not data:
                return got
            got.body += data
            if is_chunked and got.body.endswith(b"\r\n0\r\n\r\n"):
                break
            if pace:
                await asyncio.sleep(pace[1])
    except ConnectionError:
        return got
    got.is_complete = True
    return got


async def call(address, port, method, target, headers=(), body=b"", pace=None, receive_bytes=None, channel=None):
    """One request on a new channel, or on one that is kept."""
    got = Got()
    try:
        reader, writer = channel or await open_channel(address, port, receive_bytes)
    except asyncio.TimeoutError:
        raise OSError("no channel")
    try:
        writer.write(request_bytes(method, target, headers or [("Host", "x")], body))
        await writer.drain()
        got = await take(reader, pace)
    except ConnectionError:
        pass
    finally:
        if not channel:
            writer.close()
    return got


def route(name, prefix, kind, service, timeout_ms=1500, target_ms=300, attempts=2, **more):
    return {"name": name, "host": "toll.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
            "target_latency_ms": target_ms, "priority": 1, "service": service, "max_attempts": attempts, **more}


class Lab:
    """A small deployment."""

    def __init__(self, directory, vms=3):
        self.folder = directory
        self.record = Record(directory)
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = self.temporary.name
        self.net = 64 + secrets.randbelow(128)
        self.store = Store(self.record)
        self.runners = []
        self.vms = []
        for number in range(1, vms + 1):
            self.vms.append(Vm(self, number, f"zone-{'abc'[(number - 1) % 3]}"))
        addresses = [vm.address for vm in self.vms]
        self.ports = {}
        for name in ("front", "ready", "control", "directory"):
            self.ports[name] = free_port(addresses)
        self.version = 1
        self.last_id = 0

    def manifest(self, routes, engines=(), plain=()):
        engine = {"slots": 64, "kv_capacity_tokens": 101752, "kv_token_bytes": 35136, "link_mbps": 2900000.0,
                  "moves": True, "backups": True, "stride": 61, "most": 12, "kv_ttl_s": 0.5, "role_switch_s": 6.0,
                  "pin_ms": 4000.0, "hold_ms": 2000.0, "models": [{"name": "m"}]}
        services = [{"name": name, "health_check_path": "/healthz", "max_connections": 360, "protocol": "h1",
                     "tls": False, "engine": engine} for name in engines]
        services += [{"name": name, "health_check_path": "/healthz", "max_connections": 100, "protocol": "h1",
                      "tls": False} for name in plain]
        limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                  "idle_timeout_ms": 15000}
        self.version += 3
        return {"version": self.version, "routes": routes, "services": services, "limits": limits}

    async def open(self, manifest, runners):
        await self.store.open()
        self.runners = runners
        for runner in runners:
            await runner.open()
            runner.register()
        self.store.write("op/config", manifest)
        for vm in self.vms:
            vm.start()
        until = time.monotonic() + 15
        while not all([await vm.is_ready() for vm in self.vms]):
            if time.monotonic() > until or any(vm.has_ended() for vm in self.vms):
                raise RuntimeError("the processes do not become ready")
            await asyncio.sleep(0.1)
        # All machines are in touch `stability_window_ms` after their start.
        await asyncio.sleep(BOUNDS["stability_window_ms"] / 1e3 + 1)

    def next_id(self):
        self.last_id += 1
        return f"{secrets.token_hex(6)}{self.last_id:04x}"

    def headers(self, request, deadline_ms, *more):
        """The headers of a request that is about to be sent."""
        self.record("sent", request, *[f"{name}: {value}" for name, value in more])
        return [("Host", "toll.example"), ("Request-Id", request), ("Deadline-Ms", deadline_ms), *more]

    def close(self):
        for vm in self.vms:
            if vm.process and not vm.has_ended():
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        for server in [self.store, *self.runners]:
            server.end()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            subprocess.run(["cp", "-r", self.directory, keep])
        self.temporary.cleanup()


def main(play, vms=3):
    """Plays a case and exits with its result."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    if not os.path.exists(os.path.join(ROOT, "target/release/hornbeamtiller")):
        print("target/release/hornbeamtiller is not built")
        sys.exit(UNABLE)
    lab = Lab(folder, vms)
    lab.record("TROUBLE", int(TROUBLE))

    async def bounded():
        return await asyncio.wait_for(play(lab), 110)

    result = UNABLE
    try:
        result = asyncio.run(bounded())
    except Exception as error:  # The case could not run.
        lab.record("the case could not run:", repr(error))
        import traceback
        traceback.print_exc()
    finally:
        lab.close()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", UNABLE: "the case could not run"}[result]
    lab.record(verdict)
    print(verdict)
    sys.exit(result)
