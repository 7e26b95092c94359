"""Stand-ins and a small fleet of routers on loopback, for the scripts of the third review.

The store, the engines and the plain upstreams are small servers that follow the platform's protocol; the routers are the
project's own processes, started as the deploy file starts them.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

HOST = "127.0.0.1"
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "camphorshuntrouter")
KEY = "asnmgkcuyj8pjbvk9m68"
SITE_HOST = "fleet.example"


class CannotRun(Exception):
    """The case could not be run, which says nothing about the rule."""


def free_port():
    """A free port below those that the kernel gives to outgoing connections."""
    for _ in range(200):
        port = random.randrange(12000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                pass
    raise CannotRun("no free port")


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.write(text)
        print(text)


async def read_head(reader):
    """The start line and the headers of a message, names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()) not in (b"\r\n", b""):
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: keyed topics with one partition each."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def append(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, topic, key, value):
        self.append(topic, key.encode(), json.dumps(value).encode() if value is not None else b"")

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ")
                path, _, text = target.partition("?")
                query = dict(part.split("=", 1) for part in text.split("&") if "=" in part)
                status, kind, answer = await self.answer(method, path, query, body)
                writer.write((f"HTTP/1.1 {status} OK\r\nContent-Type: {kind}\r\nStore-Era: 1\r\n"
                              f"Content-Length: {len(answer)}\r\n\r\n").encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method, path, query, body):
        records = self.topics.setdefault(query.get("topic", ""), [])
        if path == "/log-newest":
            newest = {}
            for offset, (key, value) in enumerate(records):
                newest.pop(key, None)
                if value:
                    newest[key] = (value, offset)
            items = [{"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in sorted(newest.items())]
            return 200, "application/json", json.dumps(
                {"items": items, "has_more": False, "end": len(records)}).encode()
        if path == "/log-read":
            begin, wait = int(query["from"]), int(query.get("wait_ms", "0")) / 1000
            until = time.monotonic() + wait
            while len(records) <= begin and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.001, until - time.monotonic()))
                except asyncio.TimeoutError:
                    break
            if begin > len(records):
                return 410, "application/json", b'{"first":0}'
            answer = struct.pack(">QQ", len(records), 0)
            for key, value in records[begin:]:
                content = bytes([len(key)]) + key + value
                answer += struct.pack(">I", len(content)) + content
            return 200, "application/octet-stream", answer
        if path == "/log-append":
            first, rest = len(records), body
            while rest:
                size = struct.unpack(">I", rest[:4])[0]
                content, rest = rest[4:4 + size], rest[4 + size:]
                length = content[0]
                self.append(query["topic"], content[1:1 + length], content[1 + length:])
            return 200, "application/json", json.dumps({"offset": first, "end": len(records)}).encode()
        return 404, "application/json", b"{}"


class Upstream:
    """A plain upstream or a model engine. `respond(upstream, writer, request)` writes the answer of a request."""

    def __init__(self, name, service, record, respond=None):
        self.name, self.service, self.record = name, service, record
        self.respond = respond or answer_plain
        self.runs = []
        self.server = None
        self.address = None

    async def start(self, limit=65536):
        self.server = await asyncio.start_server(self.serve, HOST, 0, backlog=4096, limit=limit)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def entry(self, slots=48):
        return {"service": self.service, "address": self.address, "zone": "zagreb-a", "version": "v1", "slots": slots,
                "state": "ready", "cold_remaining_ms": 0, "stage": "both", "sequence": 1,
                "models": [{"name": "m", "version": 1, "adapters": []}]}

    async def serve(self, reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = start.split(" ")
                request = {"method": method, "target": target, "headers": headers, "body": body,
                           "id": headers.get("x-attempt-id", "")}
                if target == "/report":
                    self.write_json(writer, {"stage": "both", "models": [], "busy": False, "sequence": 1, "waiting": 0,
                                             "running": 0, "kv_used": 0, "kv_total": 676342, "handles": 0})
                elif target == "/health":
                    writer.write(f"HTTP/1.1 200 OK\r\nX-Instance-Id: {self.name}\r\nContent-Length: 0\r\n\r\n".encode())
                elif headers.get("x-expect-instance", self.name) != self.name:
                    writer.write(f"HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: {self.name}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                else:
                    self.runs.append(request)
                    self.record.write(f"run at {self.name}: {method} {target[:60]} id {request['id'][:40]} "
                                      f"tenant {headers.get('x-tenant', '-')} body {len(body)} bytes")
                    await self.respond(self, writer, request)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def write_json(writer, value):
        text = json.dumps(value).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(text) + text)

    def head(self, request, fields):
        return (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request['id']}\r\nX-Instance-Id: {self.name}\r\n"
                f"X-Response-Signature: sig.{request['id'][:40]}\r\n{fields}\r\n").encode()


async def answer_plain(upstream, writer, request):
    text = b"done " + request["id"][:40].encode()
    writer.write(upstream.head(request, f"Content-Length: {len(text)}\r\n") + text)


async def answer_stream(upstream, writer, request, events=5, pause=0.005):
    writer.write(upstream.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
    for number in range(1, events + 1):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(pause)
    writer.write(b"0\r\n\r\n")


def configuration(version=1, idle_timeout_ms=15000):
    """Like the users' example: a model service, a plain service, one tenant."""
    def route(name, prefix, kind, service, timeout, goal, **more):
        return {"name": name, "host": SITE_HOST, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout,
                "latency_goal_ms": goal, "priority": 1, "service": service, "attempts": 2, "public": False,
                "sticky": False, "resumable": False, "gap_aim_ms": 200, **more}
    return {
        "version": version,
        "routes": [route("r-book", "/book/", "non_idempotent", "plain-a", 15000, 100, attempts=1),
                   route("r-look", "/look/", "idempotent", "plain-a", 15000, 100),
                   route("r-draft", "/draft/", "stream", "model-a", 15000, 800, sticky=True)],
        "services": [
            {"name": "model-a", "health_path": "/health", "max_connections": 290, "protocol": "h1", "tls": False,
             "engine": {"slots": 48, "kv_capacity": 676342, "kv_token_bytes": 163840, "link_mbps": 740000.0,
                        "models": [{"name": "m"}]}},
            {"name": "plain-a", "health_path": "/health", "max_connections": 96, "protocol": "h1", "tls": False}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": idle_timeout_ms, "tokens_per_s": 510000},
        "tenants": [{"name": "hule930", "api_keys": [KEY], "priority": 1}]}


class Router:
    def __init__(self, folder, number, store, seeds, memory_mb=260, environment=None):
        self.callers, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self.path = os.path.join(folder, f"router-{number}.json")
        self.log = os.path.join(folder, f"router-{number}.log")
        self.process = None
        self.environment = environment or {}
        settings = {"name": f"front-{number}", "failureDomain": "zagreb-a",
                    "listen": {"callers": f"{HOST}:{self.callers}", "readiness": f"{HOST}:{self.ready}",
                               "peers": f"{HOST}:{self.peers}", "metrics": f"{HOST}:{self.metrics}"},
                    "seeds": seeds or [f"{HOST}:{self.peers}"], "store": store.address,
                    "limits": {"processorShare": 0.25, "descriptors": 4200, "stopSeconds": 8, "memoryMb": memory_mb},
                    "bounds": {"retryRatio": 0.2, "retrySpare": 52, "retryWindowSeconds": 10}}
        with open(self.path, "w", encoding="utf-8") as file:
            json.dump(settings, file)

    async def start(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment.update({"CAMPHORSHUNT_BOOT": self.path, "CAMPHORSHUNT_COLD_OVERSHOOT": "",
                            "CAMPHORSHUNT_COLD_SLACK": ""})
        environment.update(self.environment)
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                PROGRAM, cwd=ROOT, env=environment, stdout=log, stderr=log)

    async def await_ready(self, seconds=10):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRun("the router ended while it started")
            try:
                reader, writer = await asyncio.open_connection(HOST, self.ready)
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
                start = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in start:
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun("the router did not become ready")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def peak_memory(self):
        """The most memory that the process has had in use so far, in megabytes; none if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None

    async def stop(self):
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


class Fleet:
    """A store, upstreams and routers; all of them end with it."""

    def __init__(self, record, memory_mb=260):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="camphorshunt-review-")
        self.store = Store()
        self.upstreams = []
        self.routers = []
        self.memory_mb = memory_mb

    async def start(self, upstreams, routers=1, config=None):
        if not os.access(PROGRAM, os.X_OK):
            raise CannotRun("target/camphorshuntrouter is missing: run the build of the deploy file")
        await self.store.start()
        for upstream in upstreams:
            await upstream.start()
            self.store.put("keyed.servers", upstream.name, upstream.entry())
            self.upstreams.append(upstream)
        self.store.put("keyed.op", "config", config or configuration())
        seeds = []
        for number in range(routers):
            router = Router(self.folder, number, self.store, seeds, self.memory_mb)
            seeds = seeds or [f"{HOST}:{router.peers}"]
            self.routers.append(router)
            await router.start()
        for router in self.routers:
            await router.await_ready()
        await asyncio.sleep(0.5)

    async def stop(self):
        for router in self.routers:
            await router.stop()
        for server in [self.store, *self.upstreams]:
            if server.server is not None:
                server.server.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def request_head(method, target, attempt, fields=()):
    lines = [f"{method} {target} HTTP/1.1", f"Host: {SITE_HOST}", f"X-Attempt-Id: {attempt}",
             f"Authorization: Bearer {KEY}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def read_answer(reader, method="GET"):
    """Status, headers and body of a whole answer; raises if it is cut off."""
    start, headers = await read_head(reader)
    body = b"" if method == "HEAD" else await read_body(reader, headers)
    return int(start.split(" ")[1]), headers, body


async def call(router, method, target, attempt, fields=(), body=b"", timeout=10):
    """One ordinary request on a connection of its own. Returns status and body, or none and what went wrong."""
    writer = None
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(HOST, router.callers, limit=1 << 20), timeout)
        if body:
            fields = [*fields, f"Content-Length: {len(body)}"]
        writer.write(request_head(method, target, attempt, fields) + body)
        status, _, answer = await asyncio.wait_for(read_answer(reader, method), timeout)
        return status, answer
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
        return None, repr(error).encode()
    finally:
        if writer is not None:
            writer.close()


def run_case(case, folder):
    """Runs `case(record, trouble)`, which returns true if the rule held, and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record.say(f"disruption: {'on' if trouble else 'off'}")
    # Both end the case as an interrupt does, which stops the fleet.
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    signal.signal(signal.SIGHUP, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        held = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except KeyboardInterrupt:
        record.say("the case was interrupted")
        sys.exit(2)
    except Exception as error:  # pylint: disable=broad-except
        # A fault of the script says nothing about the rule.
        record.say(f"the case could not run: {error!r}")
        sys.exit(2)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
