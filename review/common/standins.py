"""Stand-ins for the platform's store, upstreams and callers, and the start of routers, for the scripts of review/.

Uses the standard library of Python only. All stand-ins of a script run in one process and on one event loop; the
routers are separate processes, started with the command and the settings template of the deploy file.
"""
import asyncio
import base64
import ctypes
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
# So that processes end with the script even if it is killed.
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def now():
    return time.monotonic()


def end_with_parent():
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def exit_on_sigterm(routers, folder):
    def handle(*_):
        end_processes(routers)
        remove_folder(folder)
        os._exit(2)
    signal.signal(signal.SIGTERM, handle)


def free_port(taken=set()):
    """A port below the range from which the kernel takes ports of outgoing connections; a new one for each call."""
    while True:
        port = random.randrange(12000, 30000)
        if port in taken:
            continue
        taken.add(port)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
                return port
            except OSError:
                continue


class Record:
    """Collects what was sent, answered and run, for record.txt."""

    def __init__(self, path):
        self.path = path
        self.began = now()
        self.lines = []

    def add(self, *words):
        self.lines.append(f"{now() - self.began:8.3f} " + " ".join(str(word) for word in words))

    def write(self):
        pathlib.Path(self.path).write_text("\n".join(self.lines) + "\n", encoding="utf-8")


# HTTP ---------------------------------------------------------------------------------------------------------------


async def read_message(reader):
    """The start line, the headers (names in lower case) and the body of a request; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    return lines[0], headers, body


async def read_chunks(reader):
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return
        yield chunk[:-2]


def message(start, headers, body=b"", length=True):
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 410: "Gone",
           421: "Misdirected Request", 503: "Service Unavailable"}


def status_line(status):
    return f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"


class Listener:
    """A server whose process can end and start again at the same address."""

    def __init__(self, port=0):
        self.port = port or free_port()
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(self._accepted, HOST, self.port, limit=1 << 22)

    async def _accepted(self, reader, writer):
        self.writers.add(writer)
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def end(self):
        """As if the process had ended: all its connections are reset, and new ones are refused."""
        if self.server is None:
            return
        server, self.server = self.server, None
        server.close()
        for writer in list(self.writers):
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()


# The platform's store -----------------------------------------------------------------------------------------------


class Store(Listener):
    """The calls of the store that routers use, on keyed topics with one partition."""

    def __init__(self, record):
        super().__init__()
        self.record = record
        self.topics = {}
        self.era = 1
        self.changed = asyncio.Condition()
        self.copies = []

    def topic(self, name):
        return self.topics.setdefault(name, [])

    async def put(self, name, key, value):
        """Appends a record; an empty value removes the key. Returns the offset, which acknowledges it."""
        log = self.topic(name)
        log.append((key, value))
        async with self.changed:
            self.changed.notify_all()
        return len(log) - 1

    async def keep_copies(self):
        """Keeps a copy of the store for every 0.1 s."""
        while True:
            self.copies.append((now(), {name: len(log) for name, log in self.topics.items()}))
            await asyncio.sleep(0.1)

    def restore(self, age):
        """Goes back to a copy of this age."""
        wanted = now() - age
        ends = max((copy for copy in self.copies if copy[0] <= wanted), key=lambda copy: copy[0])[1]
        lost = {}
        for name, log in self.topics.items():
            end = ends.get(name, 0)
            lost[name] = len(log) - end
            del log[end:]
        self.era += 1
        return lost

    def answer(self, status, body, kind="application/json"):
        return message(status_line(status), [("Content-Type", kind), ("Store-Era", self.era)], body)

    async def serve(self, reader, writer):
        while True:
            start, _, body = await read_message(reader)
            method, target, _ = start.split(" ", 2)
            path, _, query = target.partition("?")
            fields = dict(part.partition("=")[::2] for part in query.split("&") if part)
            topic = re.sub("%([0-9A-Fa-f]{2})", lambda code: chr(int(code[1], 16)), fields.get("topic", ""))
            if path == "/log-read":
                answer = await self.read(topic, fields)
            elif path == "/log-newest":
                answer = self.newest(topic, fields)
            elif path == "/log-append" and method == "POST":
                answer = await self.append(topic, body)
            else:
                answer = self.answer(404, b"{}")
            if self.server is None:
                return
            writer.write(answer)
            await writer.drain()

    async def read(self, topic, fields):
        first = int(fields["from"])
        until = now() + int(fields.get("wait_ms", 0)) / 1000
        era = self.era
        while first == len(self.topic(topic)) and now() < until and era == self.era:
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), until - now())
            except asyncio.TimeoutError:
                break
        log = self.topic(topic)
        if first > len(log):
            return self.answer(410, json.dumps({"first": 0}).encode())
        body = struct.pack(">QQ", len(log), 0)
        for key, value in log[first:]:
            content = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(content)) + content
        return self.answer(200, body, "application/octet-stream")

    def newest(self, topic, fields):
        log = self.topic(topic)
        newest = {}
        for offset, (key, value) in enumerate(log):
            newest[key] = (value, offset)
        after = re.sub("%([0-9A-Fa-f]{2})", lambda code: chr(int(code[1], 16)), fields.get("after", ""))
        keys = sorted(key for key, (value, _) in newest.items() if value and key > after)
        items = [{"key": key, "value": base64.b64encode(newest[key][0]).decode(), "offset": newest[key][1]}
                 for key in keys[:500]]
        return self.answer(200, json.dumps(
            {"items": items, "has_more": len(keys) > 500, "end": len(log)}).encode())

    async def append(self, topic, body):
        if topic in ("keyed.op", "keyed.servers"):
            return self.answer(403, b"{}")
        offset = len(self.topic(topic))
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4:4 + size], body[4 + size:]
            key = content[1:1 + content[0]].decode()
            await self.put(topic, key, content[1 + content[0]:])
        return self.answer(200, json.dumps({"offset": offset, "end": len(self.topic(topic))}).encode())


# Upstreams ----------------------------------------------------------------------------------------------------------


class Upstream(Listener):
    """A plain service's server or a model engine; writes its entry as long as it lives and is listed."""

    HEARTBEAT_S = 1.2

    def __init__(self, name, service, zone, store, record, slots=6):
        super().__init__()
        self.name = name
        self.service = service
        self.zone = zone
        self.store = store
        self.record = record
        self.slots = slots
        self.state = "ready"
        self.listed = True
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.work_s = 0.06
        self.beat = None

    def entry(self):
        return json.dumps({"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                           "slots": self.slots, "state": self.state, "cold_remaining_ms": 0,
                           "sequence": self.sequence, "born": self.born}).encode()

    async def start(self):
        await self.open()
        self.beat = asyncio.create_task(self.heartbeat())

    async def write_entry(self):
        self.sequence += 1
        return await self.store.put("keyed.servers", self.name, self.entry())

    async def heartbeat(self):
        while self.listed and self.server is not None:
            if self.store.server is not None:
                await self.write_entry()
            await asyncio.sleep(self.HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def remove_entry(self):
        """Takes the entry away without a report of `draining`; the server goes on serving."""
        self.listed = False
        if self.beat:
            self.beat.cancel()
        return await self.store.put("keyed.servers", self.name, b"")

    async def serve(self, reader, writer):
        while True:
            start, headers, body = await read_message(reader)
            attempt = headers.get("x-attempt-id", "")
            expected = headers.get("x-expect-instance", self.name)
            if expected != self.name:
                writer.write(message(status_line(421), [("X-Instance-Id", self.name), ("X-Attempt-Id", attempt)]))
                continue
            self.arrivals.append((now(), attempt))
            self.record.add("arrived", self.name, attempt, start.split(" ")[1])
            if not await self.run(start, headers, body, writer):
                return
            await writer.drain()

    async def run(self, start, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        await asyncio.sleep(self.work_s)
        if self.server is None:
            return False
        self.record.add("ran", self.name, attempt)
        writer.write(message(status_line(200), [
            ("X-Attempt-Id", attempt), ("X-Response-Signature", f"signed-{self.name}-{attempt}"),
            ("Keep-Alive", "timeout=5"), ("Content-Type", "text/plain")], f"done {attempt}".encode()))
        return True


# Routers ------------------------------------------------------------------------------------------------------------


class Router:
    """A router's process, started as the deploy file says."""

    def __init__(self, name, zone, folder, store, bounds):
        self.name = name
        self.zone = zone
        self.folder = folder
        self.store = store
        self.bounds = bounds
        self.front = free_port()
        self.ready = free_port()
        self.control = free_port()
        self.metrics = free_port()
        self.process = None
        self.log = folder / f"{name}.log"

    def render(self, seeds):
        template = (ROOT / "deploy/router.json.template").read_text(encoding="utf-8")
        values = {"node_name|json": json.dumps(self.name), "zone|json": json.dumps(self.zone),
                  "listen.front|json": json.dumps(f"{HOST}:{self.front}"),
                  "listen.ready|json": json.dumps(f"{HOST}:{self.ready}"),
                  "listen.control|json": json.dumps(f"{HOST}:{self.control}"),
                  "seeds|json": json.dumps(seeds), "platform.address|json": json.dumps(self.store.address),
                  "limits.cpu_share": 0.25, "limits.max_fds": 4200, "bounds.grace_s": self.bounds["grace_s"],
                  "bounds.retry_budget_ratio": self.bounds["retry_budget_ratio"],
                  "bounds.budget_slack": self.bounds["budget_slack"],
                  "bounds.budget_window_s": self.bounds["budget_window_s"]}
        text = template.replace("{{ip}}:7415", f"{HOST}:{self.metrics}")
        for name, value in values.items():
            text = text.replace("{{" + name + "}}", str(value))
        assert "{{" not in text, text
        return text

    def start(self, seeds):
        settings = self.folder / f"{self.name}.json"
        settings.write_text(self.render(seeds), encoding="utf-8")
        command = re.search(r'^run = "(.*)"$', (ROOT / "deploy/system.toml").read_text(encoding="utf-8"), re.M)[1]
        environment = {"PATH": os.environ["PATH"], "CAMPHORSHUNT_BOOT": str(settings)}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command.split(), cwd=ROOT, env=environment, stdout=log, stderr=subprocess.STDOUT,
                preexec_fn=end_with_parent)

    def signal(self, number):
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False


async def await_ready(routers, seconds=15):
    until = now() + seconds
    for router in routers:
        while not await router.is_ready():
            if now() > until:
                raise RuntimeError(f"{router.name} is not ready")
            await asyncio.sleep(0.1)


def end_processes(routers):
    for router in routers:
        if router.process and router.process.poll() is None:
            router.process.send_signal(signal.SIGCONT)
            router.process.kill()
            router.process.wait()


# Callers ------------------------------------------------------------------------------------------------------------


class Answer:
    def __init__(self, status=0, headers=None, body=b"", complete=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.complete = complete


class Client:
    """Sends one request at a time to one router, over a connection that it keeps."""

    def __init__(self, router):
        self.router = router
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, self.router.front, limit=1 << 22), 1)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def send(self, method, target, headers, body=b"", timeout=5.0):
        """The answer; incomplete if the connection ended before it."""
        answer = Answer()
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(message(f"{method} {target} HTTP/1.1", headers, body, length=method != "GET"))
            await asyncio.wait_for(self.receive(answer), timeout)
            if answer.headers.get("connection", "").lower() == "close":
                self.close()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            self.close()
        return answer

    async def receive(self, answer):
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        for line in head[1:]:
            if line:
                name, _, value = line.partition(":")
                answer.headers[name.strip().lower()] = value.strip()
        answer.status = int(head[0].split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            async for chunk in read_chunks(self.reader):
                answer.body += chunk
        else:
            answer.body = await self.reader.readexactly(int(answer.headers.get("content-length", 0)))
        answer.complete = True


def work_folder():
    return pathlib.Path(tempfile.mkdtemp(prefix="camphorshunt-review-"))


def remove_folder(folder):
    shutil.rmtree(folder, ignore_errors=True)
