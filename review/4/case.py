"""One of three servers is in trouble: it answers streams that may be resumed with bytes
that are no events, without end, until the caller closes.

TROUBLE=0: all three servers are sound. BREAK=1: the server in trouble breaks its answers
off after 200 KB instead of going on until the caller closes."""
import asyncio
import http.client
import os
import pathlib
import socket
import struct
import sys
import threading

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from loopback_site import *  # noqa

HERE = pathlib.Path(__file__).resolve().parent
STREAMS = 24
EVENTS = 23
DEADLINE_S = 25
NOISE = b"<p>Internal error: the worker was lost</p>\n\n" * 1600
BREAK_AFTER = 200_000
KEPT = 4096                 # bytes of an answer's start and end that a client keeps


def sound_body(name):
    return b"".join(b"id: %d\ndata: %s word %d\n\n" % (n, name.encode(), n)
                    for n in range(1, EVENTS + 1))


class Servers:
    def __init__(self, site, is_troubled):
        self.site, self.is_troubled = site, is_troubled
        self.loop = asyncio.get_running_loop()
        self.noisy = set()      # requests that the server in trouble answered

    async def answer(self, server, head, target, body, reader, writer):
        name = head.get("Ebonythread-Request-Id")
        after = int(head.get("Last-Event-Id") or 0)
        fields = answer_fields(server, name) + [("Content-Type", "text/event-stream")]
        if self.is_troubled and server.id == "i-0":
            self.noisy.add(name)
            self.site.note(f"server {server.id}, in trouble: answers {name} with noise")
            writer.write(render("HTTP/1.1 200 OK", fields))
            await writer.drain()
            await self.send_noise(writer, name)
            return False
        self.site.note(f"server {server.id}: runs {name} after event {after}")
        writer.write(render("HTTP/1.1 200 OK", fields + [("Transfer-Encoding", "chunked")]))
        events = sound_body(name).split(b"\n\n")[after:-1]
        for event in events:
            event += b"\n\n"
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        return True

    async def send_noise(self, writer, name):
        done = self.loop.create_future()
        raw = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        raw.setblocking(True)
        limit = BREAK_AFTER if os.environ.get("BREAK") == "1" else 1 << 60

        def run():
            size = 0
            try:
                while size < limit:
                    raw.sendall(NOISE)
                    size += len(NOISE)
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                end = "breaks the connection off"
            except OSError:
                end = "the caller has closed"
            raw.close()
            self.site.note(f"server i-0, in trouble: noise for {name}, {size} bytes, {end}")
            self.loop.call_soon_threadsafe(lambda: done.done() or done.set_result(end))

        threading.Thread(target=run, daemon=True).start()
        if (await done).startswith("breaks"):
            writer.transport.abort()


def read_stream(site, gateway, name):
    """Returns (status, is_complete, size, start, end) of an answer."""
    ip, port = gateway.address("front").rsplit(":", 1)
    connection = http.client.HTTPConnection(ip, int(port), timeout=DEADLINE_S)
    size, start, end, status = 0, b"", b"", 0
    try:
        connection.request("POST", "/talk/a", b"x" * 600, {
            "Host": HOST, "Ebonythread-Request-Id": name,
            "Ebonythread-Deadline-Ms": str(DEADLINE_S * 1000)})
        answer = connection.getresponse()
        status = answer.status
        while True:
            data = answer.read1(1 << 16)
            if not data:
                break
            size += len(data)
            start = (start + data)[:KEPT] if len(start) < KEPT else start
            end = (end + data)[-KEPT:]
        return status, True, size, start, end
    except (OSError, http.client.HTTPException):
        return status, False, size, start, end
    finally:
        connection.close()


async def main(trouble):
    site = Site(HERE / "record.txt", coordinators=3, gateways=2)
    servers = Servers(site, trouble)
    site.on_request = servers.answer
    try:
        for index in range(3):
            await site.add_server(f"i-{index}", "writer", index + 1, slots=64)
        await site.start()
        rule = route("talk", "writer", "streaming", DEADLINE_S * 1000, 800, resumable=True,
                     gapAimMs=250, maxAttempts=2)
        if await site.put_config(config(1, [rule], ["writer"])) != 200:
            return 2
        if not await site.wait_ready():
            return 2
        await asyncio.sleep(5)
        joined = whole = 0
        loop = asyncio.get_running_loop()
        for number in range(STREAMS):
            name, gateway = f"talk-{number + 1}", site.gateways[number % 2]
            status, is_complete, size, start, end = await loop.run_in_executor(
                None, read_stream, site, gateway, name)
            body = sound_body(name)
            is_whole = is_complete and status == 200 and size == len(body) and end == body
            is_joined = (is_complete and status == 200 and size > len(body)
                         and end.endswith(body) and start.startswith(NOISE[:20]))
            whole += is_whole
            joined += is_joined
            site.note(f"client: {name} at {gateway.name} -> {status}, {size} bytes, "
                      f"{'complete' if is_complete else 'broken off'}"
                      f"{', one server' + chr(39) + 's noise and another one' + chr(39) + 's stream' if is_joined else ''}"
                      f"{', whole' if is_whole else ''}")
        site.note(f"result: of {STREAMS} streams {whole} were one server's whole body, {joined} were "
                  f"complete successes with the bytes of two servers, {len(servers.noisy)} had met "
                  f"the server in trouble")
        if joined:
            return 1
        return 0 if whole else 2
    finally:
        await site.stop()


sys.exit(run_case(main))
