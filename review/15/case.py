"""One part of a prompt crashes each engine that begins to write an answer on it, while sound requests share its beginning."""
import asyncio
import os
import socket
import struct
import time

from fleet import HOST, Fleet, Upstream, call, run_case

ENGINES = 6
ROUTERS = 2
CONTACT_S = 3
BACK_AFTER_S = 2
SECONDS = 50
CRASHES_FROM_S = 8
SOUND_EACH_S = 0.07
CRASHING_EACH_S = 0.25
FIRST_PART, SOUND_PART, CRASH_PART = "5a5a", "beef00", "dead00"


class Engine(Upstream):
    """Ends, with all its connections, as it begins to write an answer on the crash part; is back after some seconds."""

    def __init__(self, name, record, store, crashes, begun, trouble):
        super().__init__(name, "model-a", record, answer)
        self.store, self.crashes, self.begun, self.trouble = store, crashes, begun, trouble
        self.born = int(time.time() * 1000)
        self.open, self.down = set(), False

    def entry(self, slots=48):
        return {**super().entry(slots), "born": self.born}

    def write_json(self, writer, value):
        Upstream.write_json(writer, {**value, "born": self.born, "models": [{"name": "m", "version": 1, "adapters": []}]})

    async def serve(self, reader, writer):
        self.open.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.open.discard(writer)

    async def crash(self):
        self.down = True
        port = int(self.address.split(":")[1])
        self.server.close()
        for writer in list(self.open):
            client = writer.get_extra_info("socket")
            if client is not None and client.fileno() >= 0:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
        self.record.write(f"{self.name} crashes")
        await asyncio.sleep(BACK_AFTER_S)
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, HOST, port, backlog=1024)
        self.down = False
        self.store.put("keyed.servers", self.name, self.entry())
        self.record.write(f"{self.name} is back")


async def answer(engine, writer, request):
    parts = [part.split(":")[0] for part in request["headers"].get("x-prompt-prefix", "").split(",")]
    writer.write(engine.head(request, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
    await writer.drain()
    engine.begun.add(request["id"])
    await asyncio.sleep(0.01)
    if engine.down:
        raise ConnectionError("the engine has crashed")
    if CRASH_PART in parts[:-1] and engine.trouble:
        engine.crashes.append(time.monotonic())
        asyncio.get_running_loop().create_task(engine.crash())
        raise ConnectionError("the engine crashes")
    for number in range(1, 9):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(0.1)
    writer.write(b"0\r\n\r\n")


async def case(record, trouble):
    fleet = Fleet(record)
    try:
        crashes, begun = [], set()
        engines = [Engine(f"i-model-{number}", record, fleet.store, crashes, begun, trouble) for number in range(ENGINES)]
        await fleet.start(engines, ROUTERS)
        sound = []

        async def ask(number, part):
            """One attempt; of a sound one, notes when it was sent and whether an engine began to answer it."""
            sent = time.monotonic()
            status, _ = await call(fleet.routers[number % ROUTERS], "POST", "/draft/x", f"{part}-{number}", [
                "X-Model: m", "X-Token-Count: 950,40",
                f"X-Prompt-Prefix: {FIRST_PART}:800,{part}:50,{number + 0x900000:x}:100", "Content-Length: 0"])
            record.write(f"request {number} with part {part}: {status}")
            if part == SOUND_PART:
                sound.append((sent, f"{part}-{number}" in begun))

        began = time.monotonic()
        tasks, number, next_crashing = [], 0, began + CRASHES_FROM_S
        while time.monotonic() < began + SECONDS:
            if time.monotonic() >= next_crashing:
                next_crashing += CRASHING_EACH_S
                number += 1
                tasks.append(asyncio.create_task(ask(number, CRASH_PART)))
            number += 1
            tasks.append(asyncio.create_task(ask(number, SOUND_PART)))
            await asyncio.sleep(SOUND_EACH_S)
        await asyncio.gather(*tasks)

        # Without crashes, the same spans of time are compared.
        judged = crashes[min(len(crashes), 5) - 1] + 2 * CONTACT_S if crashes else began + CRASHES_FROM_S + 6
        before = [has_begun for sent, has_begun in sound if sent < began + CRASHES_FROM_S - 1]
        after = [has_begun for sent, has_begun in sound if sent >= judged]
        record.say(f"engines that crashed: {len(crashes)}, the last counted one {judged - 2 * CONTACT_S - began:.1f} s after the "
                   f"start; sound requests that began before: {sum(before)} of {len(before)}; from 2 x contact_ms after that "
                   f"crash on: {sum(after)} of {len(after)}")
        if len(before) < 20 or len(after) < 20:
            return True
        return sum(after) / len(after) >= 0.5 * sum(before) / len(before)
    finally:
        await fleet.stop()


run_case(case, os.path.dirname(os.path.abspath(__file__)))
