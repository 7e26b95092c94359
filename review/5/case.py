"""Requests with a prompt part that crashes engines make routers refuse sound ones on the same documents: see claim.txt."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import standins  # noqa: E402
from standins import Client, Record, Router, Store, Upstream, message, now, status_line  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 52, "budget_window_s": 10}
CONTACT_S = 3.0
ZONES = ["zagreb-a", "zagreb-b", "osijek-a"]
ENGINES = 18
SERVICE = "asistent-model"
KEY = "key-of-organisation-1"
BAD_PART = "bad0bad0"
GROUPS = 6
GROUP_SIZE = 3
PAUSE_S = 0.5
GROUP_PAUSE_S = 2.5
# Each caller works on a document of its own: sound requests, three bad ones, and sound ones again.
LEAD_S = 6.0
# A caller sends a sound request so often, whatever the answer to the one before it.
SOUND_EVERY_S = 1.1
PREFILL_S = 0.25
BACK_AFTER_S = 3.0
EVENTS = 12
EVENT_S = 0.04


class Engine(Upstream):
    """A model engine; ends as it begins to write an answer on the bad part, and is back some seconds later."""

    def __init__(self, slot, fleet, store, record):
        super().__init__(f"i-{slot:02d}-1", SERVICE, ZONES[slot % len(ZONES)], store, record, slots=48)
        self.slot = slot
        self.starts = 1
        self.fleet = fleet

    async def run(self, start, headers, body, writer):
        attempt = headers.get("x-attempt-id", "")
        shared = [part.split(":")[0] for part in headers.get("x-prompt-prefix", "").split(",")][:-1]
        bad = BAD_PART in shared
        if bad:
            self.fleet.bad_arrivals.append(now())
            self.record.add("bad-part-arrived", self.name, attempt)
        await asyncio.sleep(PREFILL_S)
        if self.server is None:
            return False
        self.fleet.begun.add(attempt)
        if bad:
            await self.crash()
            return False
        writer.write(message(status_line(200), [
            ("X-Attempt-Id", attempt), ("X-Response-Signature", f"signed-{self.name}-{attempt}"),
            ("Keep-Alive", "timeout=5"), ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked")], length=False))
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
            if self.server is None:
                return False
        writer.write(b"0\r\n\r\n")
        return True

    async def crash(self):
        self.fleet.crashes.append(now())
        self.record.add("crashed", self.name, len(self.fleet.crashes))
        name = self.name
        await self.end()
        self.fleet.tasks.append(asyncio.create_task(self.come_back(name)))

    async def come_back(self, former):
        """A new incarnation with a new id; the former entry goes after three heartbeats of silence."""
        await asyncio.sleep(BACK_AFTER_S)
        self.starts += 1
        self.name = f"i-{self.slot:02d}-{self.starts}"
        self.born = int(standins.time.time() * 1000)
        await self.start()
        self.record.add("back", self.name)
        await asyncio.sleep(max(0.0, 3 * self.HEARTBEAT_S - BACK_AFTER_S))
        await self.store.put("keyed.servers", former, b"")


class Fleet:
    def __init__(self, record):
        self.record = record
        self.crashes = []
        self.bad_arrivals = []
        self.tasks = []
        self.sent = 0
        self.sound = {"served": 0, "refused": 0, "failed": 0}
        self.first_tries = []
        self.bad_sent = []
        self.begun = set()

    def configuration(self):
        return standins.json.dumps({
            "version": 7,
            "routes": [{"name": "r-dossier", "host": "assistant.example", "path_prefix": "/dossier/",
                        "kind": "stream", "timeout_ms": 15000, "latency_goal_ms": 800, "priority": 1,
                        "service": SERVICE, "attempts": 1, "public": False, "sticky": True, "resumable": False,
                        "gap_aim_ms": 200}],
            "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 290, "protocol": "h1",
                          "tls": False, "engine": {"slots": 48, "kv_capacity": 676342, "kv_token_bytes": 163840,
                                                   "link_mbps": 740000.0, "models": [{"name": "m"}]}}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000, "tokens_per_s": 510000},
            "tenants": [{"name": "organisation-1", "api_keys": [KEY]}]}).encode()

    async def request(self, client, parts, bad=False):
        self.sent += 1
        attempt = f"{'bad' if bad else 'sound'}-{self.sent}"
        parts = [f"{part}:400" for part in parts] + [f"{0xf000000 + self.sent:x}:500"]
        sent = now()
        if bad:
            self.bad_sent.append(sent)
        headers = [("Host", "assistant.example"), ("X-Attempt-Id", attempt), ("X-Model", "m"),
                   ("X-Token-Count", f"{400 * len(parts) + 100},120"), ("X-Prompt-Prefix", ",".join(parts)),
                   ("X-Deadline-Ms", "15000"), ("Authorization", f"Bearer {KEY}")]
        self.record.add("sent", attempt, client.router.name, ",".join(parts))
        answer = await client.send("POST", "/dossier/2f", headers, b"{}", timeout=16)
        self.record.add("answered", attempt, answer.status, "complete" if answer.complete else "cut")
        if not bad:
            good = answer.complete and answer.status == 200 and answer.body.count(b"id: ") == EVENTS
            kind = "served" if good else "refused" if answer.status in (429, 503) else "failed"
            self.sound[kind] += 1
            self.first_tries.append((sent, attempt))


def second_part(group):
    return f"{0xd0c000 + group:x}"


def first_part(number):
    return f"{0xa0000 + number % 7:x}"


async def sound_requests(fleet, client, number, until):
    while now() < until:
        following = now() + SOUND_EVERY_S
        await fleet.request(client, [first_part(number), second_part(number)])
        await asyncio.sleep(max(0.0, following - now()))


async def caller(fleet, router, number, begin, until):
    client = Client(router)
    await sound_requests(fleet, client, number, begin)
    for _ in range(GROUP_SIZE if TROUBLE else 0):
        await fleet.request(client, [BAD_PART, second_part(number)], bad=True)
        await asyncio.sleep(PAUSE_S)
    await sound_requests(fleet, client, number, until)
    client.close()


async def play(record, folder, routers):
    fleet = Fleet(record)
    store = Store(record)
    await store.open()
    await store.put("keyed.op", "config", fleet.configuration())
    engines = [Engine(slot, fleet, store, record) for slot in range(ENGINES)]
    for engine in engines:
        await engine.start()
    for number, zone in enumerate(ZONES):
        routers.append(Router(f"front-{zone}-{number}", zone, folder, store, BOUNDS))
    seeds = [f"{standins.HOST}:{router.control}" for router in routers]
    for router in routers:
        router.start(seeds)
    await standins.await_ready(routers)
    await asyncio.sleep(CONTACT_S + 1)
    group_s = GROUP_SIZE * (PAUSE_S + PREFILL_S) + GROUP_PAUSE_S - PAUSE_S
    begin = now() + LEAD_S
    until = begin + GROUPS * group_s
    await asyncio.gather(*(caller(fleet, routers[number % len(routers)], number, begin + number * group_s, until)
                           for number in range(GROUPS)))
    return fleet


def judge(fleet, record):
    """Sound first tries with the key before the first crash, and from 2 x contact_ms after the fifth one."""
    first = fleet.crashes[0] if fleet.crashes else fleet.first_tries[-1][0]
    before = [attempt for sent, attempt in fleet.first_tries if sent < first - 1]
    since = fleet.crashes[4] + 2 * CONTACT_S if len(fleet.crashes) >= 5 else first
    last = fleet.bad_sent[-1] if fleet.bad_sent else fleet.first_tries[-1][0]
    after = [attempt for sent, attempt in fleet.first_tries if since < sent < last]
    begun_before = sum(attempt in fleet.begun for attempt in before)
    begun_after = sum(attempt in fleet.begun for attempt in after)
    record.add("crashes", len(fleet.crashes), "sound requests", fleet.sound)
    record.add("sound requests before the first crash:", len(before), "begun", begun_before)
    record.add("from 2 x contact_ms after the fifth crash, while bad ones come:", len(after), "begun", begun_after)
    if len(before) < 20 or begun_before == 0:
        return 2
    if not TROUBLE:
        return 0 if begun_before == len(before) else 2
    if len(fleet.crashes) < 5 or len(after) < 20:
        return 0
    return 1 if begun_after / len(after) < 0.5 * begun_before / len(before) else 0


def main():
    record = Record(FOLDER / "record.txt")
    folder = standins.work_folder()
    routers = []
    result = 2
    standins.exit_on_sigterm(routers, folder)
    try:
        fleet = asyncio.run(play(record, folder, routers))
        result = judge(fleet, record)
    except Exception as error:  # The case could not run.
        record.add("error", repr(error))
    finally:
        standins.end_processes(routers)
        if os.environ.get("KEEP"):
            print(folder)
        else:
            standins.remove_folder(folder)
        record.add("result", result)
        record.write()
    print("\n".join(record.lines[-6:]))
    return result


if __name__ == "__main__":
    sys.exit(main())
