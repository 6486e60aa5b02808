"""A day that ends with its final fault, and then a single beat of another writer,
whose id is bytes that can't be read. WRITER=readable gives it an id of letters."""
import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "standins"))
from loopback_site import *  # noqa

HERE = pathlib.Path(__file__).resolve().parent
RECOVER_S = 12.0        # of the site
DOWN_S = 0.8            # of the processes in the final fault
BEAT_AFTER_S = 5.0      # of the other writer, since the machines are back
CHECK_S = 16.0          # requests are counted for so long, from RECOVER_S on
INTERVAL_S = 0.1


async def foreign_beat(site):
    """One beat for a service that no configuration names. Like any beat, it goes to
    the next daemon until one acknowledges it."""
    is_readable = os.environ.get("WRITER") == "readable"
    name = b"i-ledger" if is_readable else b"\xff\xfe\xfd"
    body = json.dumps({"service": "ledger", "addr": f"{site.net}.9.1:{site.ports['server']}",
                       "zone": ZONES[0], "version": "v1", "slots": 4, "state": "ready",
                       "coldLeftMs": 0, "born": int(time.time() * 1000), "seq": 1}).encode()
    for daemon in site.coordinators:
        status, _, _ = await call(daemon.address("control"), "PUT", b"/api/instances/" + name, body)
        site.note(f"other writer: PUT /api/instances/{name!r} at {daemon.name} -> {status}")
        if 200 <= status < 300:
            return


class Load:
    """Idempotent requests at a steady pace, each to a random gateway."""

    def __init__(self, site):
        self.site, self.count, self.tasks = site, 0, set()
        self.sent, self.served = 0, 0

    async def one(self, tally):
        self.count += 1
        name, gateway = f"q{self.count}", random.choice(self.site.gateways)
        status, _, body, is_complete = await request(self.site, gateway, "/look/a", name, 1500)
        tally[0] += 1
        tally[1] += status == 200 and is_complete
        self.site.note(f"client: {name} at {gateway.name} -> {status} {body.decode()}")

    async def run(self, seconds):
        """Returns (sent, served) of the requests that are sent from now on."""
        tally = [0, 0]
        end = self.site.now() + seconds
        tasks = []
        while self.site.now() < end:
            tasks.append(asyncio.create_task(self.one(tally)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        return tuple(tally)


async def main(trouble):
    site = Site(HERE / "record.txt", coordinators=5, gateways=3)
    try:
        for index in range(3):
            await site.add_server(f"i-{index}", "app", index + 1, slots=6)
        await site.start()
        if await site.put_config(config(1, [route("look", "app", "idempotent", 1500, 100)],
                                        ["app"])) != 200:
            return 2
        if not await site.wait_ready():
            return 2
        await asyncio.sleep(4)
        load = Load(site)
        before = await load.run(8)
        site.note("platform: final fault, all processes are killed")
        for process in site.processes():
            process.kill()
        await asyncio.sleep(DOWN_S)
        for process in site.processes():
            process.start()
        back = site.now()
        site.note("platform: all processes are started")
        await load.run(BEAT_AFTER_S)
        if trouble:
            await foreign_beat(site)
        await load.run(back + RECOVER_S + 0.1 - site.now())
        after = await load.run(CHECK_S)
        version = await site.read_config()
        site.note(f"result: served {before[1]} of {before[0]} before the final fault, and "
                  f"{after[1]} of {after[0]} sent later than {RECOVER_S} s after the machines were "
                  f"back; configuration read back: {version}")
        if before[1] * 4 < before[0] or version != 1:
            return 2
        return 1 if after[1] * 4 < after[0] else 0
    finally:
        await site.stop()


sys.exit(run_case(main))
