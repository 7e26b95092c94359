"""A prompt part under which engines crash is not found if many parts stand before it, and goes on to crash engines."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand2"))
import fleet as f  # noqa: E402

ENGINES = 10
CRASH_PART = "dead"
# Parts that all requests share, before the one that crashes engines; with PARTS=127 that one is found.
SHARED_PARTS = int(os.environ.get("PARTS", "140"))
SOUND_PER_SECOND = 10
CRASHING_PER_SECOND = 1.5
SECONDS = 30
BACK_S = 3.0
# Bounds of the sheet and of the rule BUDGET.
CONTACT_S = 3.0
CRASHES = 5
MOST = 3


class CrashingEngine(f.Engine):
    """Ends when it begins to write an answer on a prompt with the part, and is back after some seconds."""

    def __init__(self, name, fleet, log):
        super().__init__(name)
        self.fleet = fleet
        self.log = log

    def is_crashing(self, request):
        parts = request.get("x-prompt-prefix").split(",")[:-1]
        return CRASH_PART in [part.partition(":")[0] for part in parts]

    async def run(self, request, writer, method):
        if self.is_crashing(request):
            self.log["arrivals"].append(time.monotonic())
        await super().run(request, writer, method)

    def begin_event(self, request):
        if self.is_crashing(request):
            self.log["crashes"].append(time.monotonic())
            asyncio.get_running_loop().call_later(BACK_S, lambda: asyncio.ensure_future(self.come_back()))
            self.crash()
            raise ConnectionError("crashed")

    async def come_back(self):
        self.born = int(time.time() * 1000)
        await self.listen(self.port)
        self.fleet.list_server(self)


def review(number, crashing):
    """No two are alike; all share the caller and their other parts."""
    parts = [f"{0x5c1e0000 + index:x}:30" for index in range(SHARED_PARTS)]
    if crashing:
        parts.append(f"{CRASH_PART if f.trouble() else 'fade'}:30")
    parts += [f"{0x70000000 + number:x}:200"]
    tokens = 30 * (len(parts) - 1) + 200
    fields = [("X-Model", "m"), ("X-Token-Count", f"{tokens},40"), ("X-Prompt-Prefix", ",".join(parts))]
    return f.request("POST", "/review/2f", 15000, fields, b"a contract bundle")


async def case(record, fleets):
    fleet = f.Fleet(record, routers=2)
    fleets.append(fleet)
    log = {"arrivals": [], "crashes": []}
    await fleet.start([CrashingEngine(f"i-engine-{index}", fleet, log) for index in range(ENGINES)])
    await asyncio.sleep(2)
    tasks = {True: [], False: []}
    start = time.monotonic()
    sent = {True: 0, False: 0}
    while time.monotonic() - start < SECONDS:
        for crashing, rate in ((False, SOUND_PER_SECOND), (True, CRASHING_PER_SECOND)):
            # Sound requests come first, so that their parts are known to be sound.
            begin = start + (3 if crashing else 0)
            while begin + sent[crashing] / rate <= time.monotonic():
                sent[crashing] += 1
                router = fleet.routers[sent[crashing] % len(fleet.routers)]
                tasks[crashing].append(asyncio.create_task(f.call(router, review(sum(sent.values()), crashing), 18)))
        await asyncio.sleep(0.02)
    answers = {crashing: await asyncio.gather(*tasks[crashing]) for crashing in tasks}
    for crashing, name in ((False, "sound requests"), (True, "requests with the part")):
        counts = {}
        for answer in answers[crashing]:
            key = str(f.status_of(answer)) if isinstance(answer, f.Message) else answer.split(" ")[0]
            counts[key] = counts.get(key, 0) + 1
        record.line(f"{name}: {len(answers[crashing])}, answers {counts}")
    record.line(f"shared parts {SHARED_PARTS}, the longest head {len(review(0, True))} bytes, crashes {len(log['crashes'])}, "
                f"arrivals of the part {len(log['arrivals'])}")
    for at in log["crashes"]:
        record.detail(f"crash at {at - start:.3f} s")
    for at in log["arrivals"]:
        record.detail(f"arrival at {at - start:.3f} s")
    if len(log["crashes"]) < CRASHES:
        return True
    bound = log["crashes"][CRASHES - 1] + CONTACT_S
    late = [at for at in log["arrivals"] if at > bound]
    record.line(f"arrivals later than contact_ms after the fifth crash: {len(late)}, allowed {MOST}")
    return len(late) <= MOST


f.main(__file__, case)
