"""One of three servers turns its requests away with 503 and `Retry-After`: it wants nothing
from the machine for 15 minutes.

TROUBLE=0: no server does. RETRY_AFTER=seconds in the environment sets another time."""
import asyncio
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from loopback_site import *  # noqa

HERE = pathlib.Path(__file__).resolve().parent
RETRY_AFTER = os.environ.get("RETRY_AFTER", "900")
SLACK_S = 0.5           # BUDGET: "between half a second after it has answered"
ALLOWED = 2             # BUDGET: "more than two requests"
RUN_S = 25.0
INTERVAL_S = 0.1        # between two requests to one gateway


class Servers:
    def __init__(self, site, is_paused):
        self.site, self.is_paused = site, is_paused
        self.asked_at = None    # when the first 503 with Retry-After was answered
        self.late = 0           # requests later than SLACK_S after that

    async def answer(self, server, head, target, body, reader, writer):
        name = head.get("Ebonythread-Request-Id")
        if not self.is_paused or server.id != "i-0":
            return await plain_answer(server, head, target, body, reader, writer)
        if self.asked_at is None:
            self.asked_at = self.site.now()
        age = self.site.now() - self.asked_at
        self.late += age > SLACK_S
        self.site.note(f"server {server.id}: {name} arrives {age:.2f} s after the first 503 with "
                       f"Retry-After: {RETRY_AFTER}")
        writer.write(render("HTTP/1.1 503 Service Unavailable", [
            ("Ebonythread-Request-Id", name), ("Ebonythread-Not-Run", "1"),
            ("Retry-After", RETRY_AFTER), ("Keep-Alive", "timeout=5"), ("Content-Length", 0)]))
        return True


async def main(trouble):
    # One gateway, so that each request at the server is from the same machine.
    site = Site(HERE / "retry_after.txt", coordinators=3, gateways=1)
    servers = Servers(site, trouble)
    site.on_request = servers.answer
    try:
        for index in range(3):
            await site.add_server(f"i-{index}", "app", index + 1, slots=6)
        await site.start()
        rule = route("look", "app", "idempotent", 1500, 100)
        if await site.put_config(config(1, [rule], ["app"])) != 200:
            return 2
        if not await site.wait_ready():
            return 2
        await asyncio.sleep(4)
        served = count = 0
        end = site.now() + RUN_S
        while site.now() < end:
            count += 1
            status, _, _, is_complete = await request(site, site.gateways[0], "/look/a",
                                                      f"q{count}", 1500)
            served += status == 200 and is_complete
            site.note(f"client: q{count} -> {status}")
            await asyncio.sleep(INTERVAL_S)
        site.note(f"result: {served} of {count} requests served; {servers.late} reached the server "
                  f"later than {SLACK_S} s after it had asked for {RETRY_AFTER} s without any")
        if servers.late > ALLOWED:
            return 1
        return 0 if served else 2
    finally:
        await site.stop()


sys.exit(run_case(main))
