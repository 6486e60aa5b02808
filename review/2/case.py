"""Servers in trouble answer streams with bytes without end, and clients leave such an
answer; beside them, sound requests on kept connections.

TROUBLE=0: the same clients and the same pace, and sound streams, which clients leave
midway. LEAVE=0: bytes without end, but no client leaves before the answer ends."""
import asyncio
import os
import pathlib
import signal
import socket
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from loopback_site import *  # noqa

HERE = pathlib.Path(__file__).resolve().parent
RUN_S = 40.0
STREAMS_PER_S = 30          # over the site; sites/arhiv-sofia has 92 streams a second
CLIENT_LIMIT = 1_000_000    # a client takes no event that is longer
NOTE_CLIENTS = 10           # with a kept connection each
WORK_S = 0.8                # of a sound server on a note
RESTART_S = 0.5             # until the platform starts a process that has ended again
ALLOWED = 3                 # LOST: "more than three times"
NOISE = b"x" * (1 << 20)


class Trouble:
    """What the servers of the stream service do."""

    def __init__(self, site, is_endless):
        self.site, self.is_endless = site, is_endless
        self.begun = set()      # notes that a sound server has begun
        self.loop = asyncio.get_running_loop()

    async def answer(self, server, head, target, body, reader, writer):
        name = head.get("Ebonythread-Request-Id")
        if target.startswith("/note/"):
            self.begun.add(name)
            self.site.note(f"server {server.id}: begins {name}")
            await asyncio.sleep(WORK_S)
            return await plain_answer(server, head, target, body, reader, writer)
        if not target.startswith("/talk/"):
            return await plain_answer(server, head, target, body, reader, writer)
        fields = answer_fields(server, name) + [("Content-Type", "text/event-stream")]
        writer.write(render("HTTP/1.1 200 OK", fields))
        await writer.drain()
        if self.is_endless:
            await self.send_noise(writer)
        else:
            for number in range(1, 58):
                writer.write(f"id: {number}\ndata: {'word ' * 60}\n\n".encode())
                await writer.drain()
                await asyncio.sleep(0.005)
        return False

    async def send_noise(self, writer):
        """Bytes that are no event, until the caller closes."""
        done = self.loop.create_future()
        raw = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        raw.setblocking(True)

        def run():
            try:
                while True:
                    raw.sendall(NOISE)
            except OSError:
                pass
            raw.close()
            self.loop.call_soon_threadsafe(lambda: done.done() or done.set_result(None))

        threading.Thread(target=run, daemon=True).start()
        await done


def read_stream(site, gateway, name, is_endless, leaves):
    """A client of a stream. It leaves at an event over its limit; a sound stream it
    leaves after some events. Returns what it has seen."""
    ip, port = gateway.address("front").rsplit(":", 1)
    limit = (CLIENT_LIMIT if is_endless else 4000) if leaves else 1 << 40
    size = 0
    try:
        with socket.create_connection((ip, int(port)), timeout=1) as raw:
            raw.settimeout(5)
            raw.sendall(request_bytes("/talk/a", name, 15000, "POST", b"x" * 600))
            while size < limit:
                data = raw.recv(1 << 16)
                if not data:
                    return f"closed after {size} bytes"
                size += len(data)
            return f"left after {size} bytes"
    except OSError as error:
        return f"{error} after {size} bytes"


class Notes:
    """Clients that send one note after another, each on its kept connection."""

    def __init__(self, site, begun):
        self.site, self.gateways, self.begun = site, site.gateways, begun
        self.sent = self.served = self.lost = 0
        self.is_over = False

    async def client(self, index):
        count = 0
        while not self.is_over:
            gateway = self.gateways[index % len(self.gateways)]
            kept = Client(self.site, gateway)
            on_connection = 0
            try:
                await kept.connect()
                while not self.is_over:
                    count += 1
                    name = f"note-{index}-{count}"
                    self.sent += 1
                    kept.send(request_bytes("/note/a", name, 5000, "POST", b"x" * 600))
                    head, _, is_complete = await asyncio.wait_for(kept.read(), 5)
                    if head is None or not is_complete:
                        # The first one on a connection isn't counted.
                        self.lost += on_connection > 0 and name in self.begun
                        self.site.note(f"client: {name} at {gateway.name} -> closed without an "
                                       f"answer ({on_connection} before on this connection)")
                        break
                    on_connection += 1
                    self.served += head.status == 200
                    self.site.note(f"client: {name} at {gateway.name} -> {head.status}")
                    if head.get("Connection") == "close":
                        break
            except (OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.1)
            finally:
                kept.close()


class Platform:
    """Starts processes again that have ended."""

    def __init__(self, site):
        self.site, self.ends = site, 0

    async def run(self):
        while True:
            for process in self.site.processes():
                if process.child and not process.is_running() and not process.expects_end:
                    self.ends += 1
                    number = process.child.poll()
                    self.site.note(f"platform: {process.name} has ended by itself"
                                   f"{', ' + signal.Signals(-number).name if number < 0 else ''}")
                    await asyncio.sleep(RESTART_S)
                    process.start()
            await asyncio.sleep(0.05)


async def main(trouble):
    site = Site(HERE / "record.txt", coordinators=3, gateways=2)
    leaves = os.environ.get("LEAVE", "1") != "0"
    servers = Trouble(site, trouble)
    site.on_request = servers.answer
    tasks = []
    try:
        for index in range(3):
            await site.add_server(f"i-{index}", "app", index + 1, slots=6)
        for index in range(2):
            await site.add_server(f"t-{index}", "talker", index + 5, slots=64)
        await site.start()
        routes = [route("note", "app", "non_idempotent", 5000, 1000),
                  route("talk", "talker", "streaming", 15000, 800, resumable=False,
                        gapAimMs=250, maxAttempts=1)]
        if await site.put_config(config(1, routes, ["app", "talker"])) != 200:
            return 2
        if not await site.wait_ready():
            return 2
        await asyncio.sleep(5)
        platform, notes = Platform(site), Notes(site, servers.begun)
        tasks += [asyncio.create_task(platform.run())]
        tasks += [asyncio.create_task(notes.client(n)) for n in range(NOTE_CLIENTS)]
        await asyncio.sleep(2)
        end = site.now() + RUN_S
        loop = asyncio.get_running_loop()
        streams = []
        while site.now() < end and notes.lost <= ALLOWED:
            gateway = random.choice(site.gateways)
            name = f"talk-{len(streams) + 1}"
            streams.append(loop.run_in_executor(
                None, lambda g=gateway, n=name: site.note(
                    f"client: {n} at {g.name}: {read_stream(site, g, n, trouble, leaves)}")))
            await asyncio.sleep(1 / STREAMS_PER_S)
        notes.is_over = True
        await asyncio.wait(streams, timeout=10)
        await asyncio.sleep(1)
        site.note(f"result: {len(streams)} streams; {platform.ends} gateways ended by themselves; "
                  f"of {notes.sent} notes {notes.served} were served, {notes.lost} on kept "
                  f"connections were passed on and their connection closed without an answer")
        if notes.lost > ALLOWED:
            return 1
        return 0 if notes.served else 2
    finally:
        for task in tasks:
            task.cancel()
        await site.stop()


sys.exit(run_case(main))
