"""Stand-ins and helpers for the scripts of the second review.

One asyncio loop plays the platform: its store, the servers (engines and plain services) and the clients. The routers are
the project's own program, started as separate processes with the command, the environment and the settings template of
deploy/system.toml. All addresses are loopback addresses, all ports are free ones, and all files are in a temporary folder.
Only Python's standard library is used.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
MEBIBYTE = 1024 * 1024
KEY = "key-acme"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """The file record.txt beside the script, and the same lines on standard output."""

    def __init__(self, script):
        self.path = os.path.join(os.path.dirname(os.path.abspath(script)), "record.txt")
        self.file = open(self.path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def line(self, text):
        line = f"{time.monotonic() - self.start:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)

    def detail(self, text):
        """A line for the file only."""
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")


def free_ports(count):
    """Free ports below the range from which the kernel takes those of outgoing connections, so that restarts find them free."""
    ports = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(10240, 32000)
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                listener.bind((HOST, port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


class Message:
    """A request or a response: first line, header fields in lower case, and body."""

    def __init__(self, first, fields, body=b""):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        for field, value in self.fields:
            if field == name:
                return value
        return default


async def read_head(reader):
    """None if the connection ended before the first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended inside a head") from None
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip().lower(), value.strip()))
    return Message(lines[0], fields)


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        body += await reader.readexactly(size)
        if size == 0:
            while (await reader.readline()) not in (b"\r\n", b""):
                pass
            return body
        await reader.readexactly(2)


async def read_body(reader, message):
    if message.get("transfer-encoding").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(message.get("content-length", "0") or 0))


def response(status, body=b"", fields=(), reason="-"):
    head = f"HTTP/1.1 {status} {reason}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Accepts connections and serves one request at a time on each."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.writers = set()
        self.tasks = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def listen(self, port=0):
        self.server = await asyncio.start_server(self.accept, HOST, port, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    async def accept(self, reader, writer):
        self.writers.add(writer)
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                request = await read_head(reader)
                if request is None:
                    return
                request.body = await read_body(reader, request)
                await self.serve(request, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def serve(self, request, reader, writer):
        raise NotImplementedError

    def crash(self):
        """What a caller sees of a process that ends: resets, and then refused connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            if writer.transport is not None:
                writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Store(HttpServer):
    """The keyed topics of the platform's store (PROTOCOL.md, 'The platform's metadata store')."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.changed = asyncio.Event()

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    def put(self, topic, key, value):
        self.records(topic).append((key, value.encode() if isinstance(value, str) else value))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, request, reader, writer):
        target = request.first.split(" ")[1]
        path, _, query = target.partition("?")
        values = dict(pair.partition("=")[::2] for pair in query.split("&") if pair)
        topic = values.get("topic", "")
        era = [("Store-Era", "1"), ("Content-Type", "application/json")]
        if path == "/log-append":
            data, offset = request.body, len(self.records(topic))
            while len(data) >= 4:
                size = struct.unpack(">I", data[:4])[0]
                content, data = data[4:4 + size], data[4 + size:]
                key_size = content[0]
                self.put(topic, content[1:1 + key_size].decode(), content[1 + key_size:])
            answer = {"offset": offset, "end": len(self.records(topic))}
            writer.write(response(200, json.dumps(answer).encode(), era))
        elif path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(self.records(topic)):
                newest.pop(key, None)
                if value:
                    newest[key] = {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            items = [newest[key] for key in sorted(newest) if key > values.get("after", "")]
            answer = {"items": items[:500], "has_more": len(items) > 500, "end": len(self.records(topic))}
            writer.write(response(200, json.dumps(answer).encode(), era))
        elif path == "/log-read":
            start, until = int(values.get("from", 0)), time.monotonic() + int(values.get("wait_ms", 0)) / 1000
            if start > len(self.records(topic)):
                writer.write(response(410, b'{"first":0}', era))
                return
            while len(self.records(topic)) <= start and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                except asyncio.TimeoutError:
                    break
            records = self.records(topic)
            body = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes([len(key)]) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            writer.write(response(200, body, era))
        else:
            writer.write(response(404))


class Server(HttpServer):
    """A server of a service: sound, unless a subclass changes it. Records what arrives and what runs."""

    def __init__(self, name, service, work_s=0.015):
        super().__init__()
        self.name = name
        self.service = service
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.runs = []

    def entry(self, slots, state="ready"):
        return json.dumps({"service": self.service, "address": self.address, "zone": "zone-a", "version": "v1",
                           "slots": slots, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": self.born})

    def fields(self, request):
        return [("X-Attempt-Id", request.get("x-attempt-id")), ("X-Response-Signature", f"signed-{self.name}"),
                ("X-Instance-Id", self.name), ("Keep-Alive", "timeout=10")]

    async def serve(self, request, reader, writer):
        method, target, _ = request.first.split(" ")
        if target in ("/health", "/report"):
            report = {"stage": "both", "models": [], "busy": False, "sequence": 1, "waiting": 0, "running": 0,
                      "kv_used": 0, "kv_total": 1, "handles": 0, "born": self.born}
            writer.write(response(200, json.dumps(report).encode(), [("X-Instance-Id", self.name)]))
            return
        if not request.get("x-attempt-id"):
            writer.write(response(400, fields=[("X-Not-Executed", "1")]))
            return
        if request.get("x-expect-instance") not in ("", self.name):
            fields = [("X-Attempt-Id", request.get("x-attempt-id")), ("X-Instance-Id", self.name), ("X-Not-Executed", "1")]
            writer.write(response(421, fields=fields))
            return
        await self.run(request, writer, method)

    async def run(self, request, writer, method):
        self.runs.append(request.get("x-attempt-id"))
        await asyncio.sleep(self.work_s)
        self.answer(request, writer, method)

    def answer(self, request, writer, method):
        body = f"done {request.get('x-attempt-id')}".encode()
        answer = response(200, body, self.fields(request), "OK")
        writer.write(answer[:-len(body)] if method == "HEAD" else answer)


class Engine(Server):
    """A model engine: prompts are read one after the other at the sheet's rate, then events follow."""

    prompt_tokens_per_ms = 66.2
    event_s = 0.02

    def __init__(self, name, service="model"):
        super().__init__(name, service)
        self.prefill = asyncio.Lock()

    async def run(self, request, writer, method):
        tokens, _, events = request.get("x-token-count").partition(",")
        async with self.prefill:
            await asyncio.sleep(int(tokens) / self.prompt_tokens_per_ms / 1000)
        self.runs.append(request.get("x-attempt-id"))
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        for name, value in self.fields(request):
            head += f"{name}: {value}\r\n"
        writer.write((head + "\r\n").encode())
        first = int(request.get("last-event-id") or 0) + 1
        for number in range(first, int(events) + 1):
            self.begin_event(request)
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")

    def begin_event(self, request):
        pass


def route(name, kind, service, timeout_ms, goal_ms, attempts):
    return {"name": name, "host": "fleet.example", "path_prefix": f"/{name}/", "kind": kind, "timeout_ms": timeout_ms,
            "latency_goal_ms": goal_ms, "priority": 1, "service": service, "attempts": attempts, "public": False,
            "sticky": kind == "stream", "resumable": False}


def configuration(version=2):
    """Routes, services and limits as on the sheet of bresla-gig and in the examples of `fleetbench wire`."""
    engine = {"slots": 64, "kv_capacity": 498186, "kv_token_bytes": 163840, "link_mbps": 740000.0,
              "models": [{"name": "m"}]}
    return {"version": version,
            "routes": [route("status", "idempotent", "registry", 4000, 300, 2),
                       route("register", "non_idempotent", "registry", 4000, 300, 1),
                       route("review", "stream", "model", 15000, 800, 1)],
            "services": [{"name": "model", "health_path": "/health", "max_connections": 370, "engine": engine},
                         {"name": "registry", "health_path": "/health", "max_connections": 110}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, "tokens_per_s": 510000},
            "tenants": [{"name": "acme", "api_keys": [KEY]}]}


class Router:
    def __init__(self, index, zone, folder):
        self.index = index
        self.zone = zone
        self.callers, self.ready, self.peers, self.metrics = free_ports(4)
        self.settings = os.path.join(folder, f"router-{index}.json")
        self.log = os.path.join(folder, f"router-{index}.log")
        self.process = None

    @property
    def pid(self):
        return self.process.pid

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def status_bytes(self, name):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
            for line in file:
                if line.startswith(name + ":"):
                    return int(line.split()[1]) * 1024
        return 0

    def memory(self):
        return self.status_bytes("VmRSS")

    def peak_memory(self):
        return self.status_bytes("VmHWM")


class Fleet:
    """Routers on the settings of the deploy file's template, on machines of this size."""

    def __init__(self, record, routers=1, memory_mb=110, descriptors=4100, cpu_share=0.25):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.memory_mb = memory_mb
        self.store = Store()
        self.servers = []
        self.fields = {"limits": {"cpu_share": cpu_share, "max_fds": descriptors},
                       "bounds": {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 56, "budget_window_s": 10}}
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["router"]
        self.command = role["run"].split()
        self.environment = role.get("env", {})
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            self.template = file.read()
        self.routers = [Router(index, "zone-a", self.folder) for index in range(routers)]

    def fill_in(self, template, fields):
        def value_of(match):
            path, _, form = match.group(1).partition("|")
            value = fields
            for name in path.split("."):
                value = value.get(name) if isinstance(value, dict) else None
            if form == "json":
                return json.dumps(value)
            return "" if value is None else str(value)
        return re.sub(r"\{\{([^{}]+)\}\}", value_of, template)

    def start_router(self, router):
        ip = HOST
        fields = dict(self.fields, node_name=f"front-{router.index}", zone=router.zone, ip=ip,
                      listen={"front": f"{ip}:{router.callers}", "ready": f"{ip}:{router.ready}",
                              "control": f"{ip}:{router.peers}"},
                      seeds=[f"{ip}:{other.peers}" for other in self.routers[:3]],
                      platform={"address": self.store.address})
        text = self.fill_in(self.template, fields).replace(f"{ip}:7415", f"{ip}:{router.metrics}")
        # On the users' machines the system reports their memory; here the setting of the same meaning does.
        text = text.replace('"descriptors":', f'"memoryMb": {self.memory_mb}, "descriptors":')
        with open(router.settings, "w", encoding="utf-8") as file:
            file.write(text)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["CAMPHORSHUNT_BOOT"] = router.settings
        for name, value in self.environment.items():
            environment[name] = self.fill_in(value, self.fields)
        with open(router.log, "ab") as log:
            router.process = subprocess.Popen(self.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                              stdout=log, stderr=log)

    async def start(self, servers):
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun(f"{self.command[0]} is missing: run the build command of deploy/system.toml first")
        await self.store.listen()
        for server in servers:
            await server.listen()
            self.list_server(server)
        self.servers = servers
        self.store.put("keyed.op", "config", json.dumps(configuration()))
        for router in self.routers:
            self.start_router(router)
        for router in self.routers:
            await self.await_ready(router)

    def list_server(self, server, state="ready"):
        self.store.put("keyed.servers", server.name, server.entry(64 if server.service == "model" else 6, state))

    async def await_ready(self, router, seconds=15):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if not router.is_running():
                raise CannotRun(f"router {router.index} ended with {router.process.returncode}")
            if await self.is_ready(router):
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"router {router.index} was not ready in time")

    async def is_ready(self, router):
        try:
            reader, writer = await asyncio.open_connection(HOST, router.ready)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            answer = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return answer is not None and answer.first.split(" ")[1] == "200"
        except (OSError, ConnectionError, asyncio.TimeoutError):
            return False

    def stop(self):
        for router in self.routers:
            if router.is_running():
                router.process.send_signal(signal.SIGKILL)
                router.process.wait()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


attempts = iter(range(1, 1 << 60))


def new_attempt():
    return f"{os.getpid():x}{next(attempts):012x}"


def request(method, path, deadline_ms, fields=(), body=None, attempt=None):
    head = f"{method} {path} HTTP/1.1\r\nHost: fleet.example\r\nX-Attempt-Id: {attempt or new_attempt()}\r\n"
    head += f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
    for name, value in fields:
        head += f"{name}: {value}\r\n"
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return (head + "\r\n").encode("latin-1") + (body or b"")


async def call(router, data, seconds):
    """One request on a connection of its own: the answer, or a text that says how it failed."""
    writer = None
    try:
        async def exchange():
            nonlocal writer
            reader, writer = await asyncio.open_connection(HOST, router.callers, limit=1 << 20)
            writer.write(data)
            answer = await read_head(reader)
            if answer is None:
                return "closed without an answer"
            answer.body = await read_body(reader, answer)
            return answer
        return await asyncio.wait_for(exchange(), seconds)
    except asyncio.TimeoutError:
        return f"no answer within {seconds} s"
    except (OSError, ConnectionError, asyncio.IncompleteReadError, ValueError) as error:
        return f"failed: {type(error).__name__} {error}"
    finally:
        if writer is not None:
            writer.close()


async def metric(router, name):
    """A figure of the router's own metrics, or none."""
    try:
        reader, writer = await asyncio.open_connection(HOST, router.metrics)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: metrics\r\nConnection: close\r\n\r\n")
        text = (await asyncio.wait_for(reader.read(), 2)).decode()
        writer.close()
    except (OSError, asyncio.TimeoutError):
        return None
    found = re.search(rf"^{name} (\S+)$", text, re.MULTILINE)
    return float(found.group(1)) if found else None


def status_of(answer):
    return int(answer.first.split(" ")[1]) if isinstance(answer, Message) else 0


def is_fault(ends):
    """The rule Fault: on two machines at least, processes have ended by themselves three times. `ends`: by machine."""
    return sum(count >= 3 for count in ends.values()) >= 2


def main(script, case):
    """Runs the case: a coroutine function that returns whether the rule held."""
    record = Record(script)
    fleets = []

    def stop_early(*_):
        for fleet in fleets:
            fleet.stop()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, stop_early)
    signal.alarm(118)

    async def run():
        return await asyncio.wait_for(case(record, fleets), 115)

    try:
        held = asyncio.run(run())
    except Exception as error:  # A fault of the script says nothing about the rule.
        record.line(f"the case could not run: {type(error).__name__} {error}")
        sys.exit(2)
    finally:
        for fleet in fleets:
            fleet.stop()
    record.line("the rule held" if held else "the rule was broken")
    # Connections of the stand-ins may still be open; nothing is left to be done on them.
    os._exit(0 if held else 1)
