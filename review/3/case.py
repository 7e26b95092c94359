"""The store comes back from a copy some seconds old, then a server leaves: see claim.txt."""
import asyncio
import os
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))
import standins  # noqa: E402
from standins import Client, Record, Router, Store, Upstream, now  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BOUNDS = {"grace_s": 8, "retry_budget_ratio": 0.2, "budget_slack": 52, "budget_window_s": 10}
CONTACT_S = 3.0
DRAIN_S = 2.0
ZONES = ["zagreb-a", "zagreb-b", "osijek-a"]
SERVERS = 4
ENGINES = 4
SERVICE = "termini-app"
MODEL_SERVICE = "asistent-model"
KEY = "key-of-organisation-1"
COPY_AGE_S = 6.0
AWAY_S = 1.0
# The server leaves this long after the store's return, when the store has been stable for `contact_ms` again.
LEAVES_AFTER_S = 3.3
# It serves for `drain_ms` after the entry's removal and "a little longer (at times many seconds)".
LINGERS_S = 6.0
PAUSE_S = 0.05
# The longest work of a booking on this site.
WORK_S = 0.11


def configuration():
    def route(name, prefix, kind):
        return {"name": name, "host": "visits.example", "path_prefix": prefix, "kind": kind, "timeout_ms": 1500,
                "latency_goal_ms": 100, "priority": 2, "service": SERVICE, "attempts": 2, "public": False}
    return standins.json.dumps({
        "version": 7,
        "routes": [route("r-booking", "/booking/", "non_idempotent"), route("r-history", "/history/", "idempotent")],
        "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 96, "protocol": "h1",
                      "tls": False},
                     {"name": MODEL_SERVICE, "health_path": "/health", "max_connections": 290, "protocol": "h1",
                      "tls": False, "engine": {"slots": 48, "kv_capacity": 676342}}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                   "idle_timeout_ms": 15000, "tokens_per_s": 510000},
        "tenants": [{"name": "organisation-1", "api_keys": [KEY]}]}).encode()


class Calls:
    def __init__(self):
        self.sent = {}
        self.cut = 0
        self.answers = {"served": 0, "refused": 0, "failed": 0}


async def caller(number, router, calls, record, until):
    client = Client(router)
    count = 0
    while now() < until:
        count += 1
        attempt = f"{number}-{count}"
        booking = count % 3 != 0
        headers = [("Host", "visits.example"), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", "1500"),
                   ("Authorization", f"Bearer {KEY}")]
        calls.sent[attempt] = now()
        if booking:
            answer = await client.send("POST", "/booking/1", headers, b"visit", timeout=3)
        else:
            answer = await client.send("GET", "/history/1", headers, timeout=3)
        good = answer.complete and answer.status == 200 and answer.body == f"done {attempt}".encode()
        kind = "served" if good else "refused" if answer.status in (429, 503) else "failed"
        calls.answers[kind] += 1
        calls.cut += booking and kind == "failed"
        record.add("answered", attempt, "booking" if booking else "history", answer.status, kind)
        await asyncio.sleep(PAUSE_S * random.uniform(0.5, 1.5))
    client.close()


async def drill(store, config, record):
    """The store is away for a moment, and comes back from a copy; all writers write again."""
    record.add("store away")
    await store.end()
    await asyncio.sleep(AWAY_S)
    lost = store.restore(COPY_AGE_S + AWAY_S)
    await store.open()
    record.add("store back, Store-Era", store.era, "records lost", lost)
    if lost.get("keyed.op"):
        await store.put("keyed.op", "config", config)


async def play(record, folder, routers):
    store = Store(record)
    await store.open()
    config = configuration()
    await store.put("keyed.op", "config", config)
    copies = asyncio.create_task(store.keep_copies())
    upstreams = [Upstream(f"i-{number:02d}", SERVICE if number < SERVERS else MODEL_SERVICE,
                          ZONES[number % len(ZONES)], store, record) for number in range(SERVERS + ENGINES)]
    for upstream in upstreams:
        upstream.work_s = WORK_S
        await upstream.start()
    for number, zone in enumerate(ZONES):
        routers.append(Router(f"front-{zone}-{number}", zone, folder, store, BOUNDS))
    seeds = [f"{standins.HOST}:{router.control}" for router in routers]
    for router in routers:
        router.start(seeds)
    await standins.await_ready(routers)
    await asyncio.sleep(COPY_AGE_S + CONTACT_S)

    calls = Calls()
    until = now() + AWAY_S + LEAVES_AFTER_S + DRAIN_S + LINGERS_S + 4
    callers = [asyncio.create_task(caller(number, routers[number % len(routers)], calls, record, until))
               for number in range(18)]
    await asyncio.sleep(1)
    if TROUBLE:
        await drill(store, config, record)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(LEAVES_AFTER_S)
    leaver = upstreams[0]
    offset = await leaver.remove_entry()
    removed = now()
    record.add("removed", leaver.name, "offset", offset)
    await asyncio.sleep(DRAIN_S + LINGERS_S)
    await leaver.end()
    record.add("exited", leaver.name)
    await asyncio.gather(*callers)
    copies.cancel()
    return calls, leaver, removed


def judge(calls, leaver, removed, record):
    late = [attempt for at, attempt in leaver.arrivals
            if calls.sent.get(attempt, 0) > removed + DRAIN_S and at > removed + DRAIN_S]
    record.add("requests", len(calls.sent), calls.answers, "bookings that failed", calls.cut)
    record.add("sent later than drain_ms after the removal was acknowledged, and reached", leaver.name, len(late))
    if calls.answers["served"] < 100:
        return 2
    return 1 if late else 0


def main():
    record = Record(FOLDER / "record.txt")
    folder = standins.work_folder()
    routers = []
    result = 2
    standins.exit_on_sigterm(routers, folder)
    try:
        result = judge(*asyncio.run(play(record, folder, routers)), record)
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
    print("\n".join(record.lines[-4:]))
    return result


if __name__ == "__main__":
    sys.exit(main())
