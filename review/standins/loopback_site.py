"""A small site on loopback: the two programs of the deploy file as processes,
and stand-ins for the platform, model servers, plain servers, clients and the
operator, as PROTOCOL.md and DEPLOY.md describe them.

Used by the scripts of the cases. Standard library only.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

REPO = pathlib.Path(__file__).resolve().parents[2]
BIN = REPO / "target" / "bin"
ZONES = ["zone-a", "zone-b", "zone-c"]

# The bounds of sites/arhiv-sofia.toml, as SYSTEM.md gives them.
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxStretchMs": 5000, "retryRatio": 0.2, "retryWindowS": 10,
    "retrySlack": 54, "recoverS": 12, "passMs": 120, "againS": 0, "requireFence": "false",
    "leaseMs": 3000, "thawSlackMs": 300, "ceilingWindowS": 5, "loadBurstFactor": 1.1,
    "ttl_max_s": 5,
}
BEAT_S = 1.2
HOST = "archive.example"


class Head:
    """Start line and fields of an HTTP message."""

    def __init__(self, start, fields):
        self.start = start
        self.fields = fields

    def get(self, name, default=None):
        for key, value in self.fields:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    """Reads a head; None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw[:-4].decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields.append((name, value.strip()))
    return Head(lines[0], fields)


async def read_chunks(reader, on_bytes):
    """Reads a chunked body; True if it ended in order."""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return True
        on_bytes(data[:-2])


async def read_answer(reader):
    """Returns (head, body, is_complete); head is None if there was none."""
    body = bytearray()
    head = None
    while True:
        head = await read_head(reader)
        if head is None:
            return None, b"", False
        if head.status >= 200:
            break
    try:
        if (head.get("Transfer-Encoding") or "").lower() == "chunked":
            await read_chunks(reader, body.extend)
        elif head.get("Content-Length") is not None:
            body.extend(await reader.readexactly(int(head.get("Content-Length"))))
        else:
            body.extend(await reader.read())
    except asyncio.IncompleteReadError as error:
        body.extend(error.partial)
        return head, bytes(body), False
    except (ConnectionError, ValueError, asyncio.LimitOverrunError):
        return head, bytes(body), False
    return head, bytes(body), True


def render(start, fields, body=b""):
    lines = [start] + [f"{name}: {value}" for name, value in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, body=b"", timeout=1.0, fields=()):
    """One call on a connection of its own: (status, head, body); status 0: none."""
    ip, port = address.rsplit(":", 1)

    async def run():
        reader, writer = await asyncio.open_connection(ip, int(port))
        try:
            extra = [("Content-Length", len(body))] if body or method != "GET" else []
            raw_path = path if isinstance(path, bytes) else path.encode()
            writer.write(method.encode() + b" " + raw_path + b" " +
                         render("HTTP/1.1", [("Host", address)] + list(fields) + extra, body))
            head, text, is_complete = await read_answer(reader)
            return (head.status, head, text) if head and is_complete else (0, head, text)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(run(), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None, b""


class Process:
    """One of the system's processes. The platform starts it again when it ends."""

    def __init__(self, site, name, program, ip, zone, seeds, roles):
        self.site, self.name, self.program, self.ip, self.zone = site, name, program, ip, zone
        self.seeds, self.roles = seeds, roles
        self.folder = site.folder / name
        (self.folder / "data").mkdir(parents=True)
        self.child = None
        self.ends = 0          # that the script didn't bring about
        self.expects_end = False

    def address(self, what):
        return f"{self.ip}:{self.site.ports[what]}"

    def write_settings(self, is_first):
        ports = self.site.ports
        lines = {
            "node": self.name, "role": self.program, "ip": self.ip, "zone": self.zone,
            "region": "region-1", "machineClass": "core" if "control" in self.roles else "edge",
            "serves": ",".join(self.roles),
            "portRange": f"{ports['range']},{ports['range'] + 15}",
            "seeds": ",".join(self.seeds), "bootstrap": "true" if is_first else "false",
            "inTolerance": "true" if "control" in self.roles else "false",
            "limits.memoryMb": 256, "limits.maxFds": 4096, "limits.cores": 1,
            "discovery": "registry", "entry": "directory", "beatIntervalMs": int(BEAT_S * 1000),
            "contracts": "base,drain,config,cost,retry,recover,fleet,stream,engine",
            "tolerate.machines": 1, "tolerate.zones": 0, "tolerate.regions": 0,
            "configMode": "highest",
        }
        for zone in ZONES:
            lines[f"zones.{zone}"] = "region-1"
        for name, value in BOUNDS.items():
            lines[f"bounds.{name}"] = value
        if "control" in self.roles:
            lines["listen.control"] = self.address("control")
            lines["listen.directory"] = self.address("directory")
            lines["dataDir"] = str(self.folder / "data")
        else:
            lines["listen.front"] = self.address("front")
            lines["listen.readyAddr"] = self.address("ready")
        path = self.folder / "local.conf"
        path.write_text("".join(f"{k}={v}\n" for k, v in lines.items()))
        return path

    def start(self, is_first=False):
        path = self.write_settings(is_first)
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG", "REVIEW_RUN")
               if key in os.environ}
        env["EBONYTHREAD_SETTINGS"] = str(path)
        with open(self.folder / "log", "ab") as log:
            self.child = subprocess.Popen([str(BIN / self.program)], cwd=REPO, env=env,
                                          stdin=subprocess.DEVNULL, stdout=log, stderr=log)
        self.expects_end = False

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def kill(self):
        self.expects_end = True
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child is not None:
            self.child.wait()


class Server:
    """A server of a service: beats, reports, health checks, orders and requests."""

    def __init__(self, site, name, service, ip, slots, version="v1", models=None):
        self.site, self.id, self.service, self.ip = site, name, service, ip
        self.slots, self.version = slots, version
        self.models = models or []
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.orders = 0
        self.state = "ready"
        self.zone = ZONES[hash(ip) % len(ZONES)]
        self.beat_to = None
        self.beat_acked = 0.0
        self.is_up = True
        self.listener = None
        self.tasks = []

    @property
    def address(self):
        return f"{self.ip}:{self.site.ports['server']}"

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.site.ports["server"],
                                                   limit=1 << 20)
        self.tasks.append(asyncio.create_task(self.beat_forever()))

    def describe(self):
        self.seq += 1
        about = {"service": self.service, "addr": self.address, "zone": self.zone,
                 "version": self.version, "slots": self.slots, "state": self.state,
                 "coldLeftMs": 0, "born": self.born, "seq": self.seq}
        if self.models:
            about.update(stage="both", models=self.models,
                         atHand={"inMemory": [], "onDisk": []})
        return about

    async def beat(self):
        """One beat; True once a daemon has acknowledged it."""
        body = json.dumps(self.describe()).encode()
        daemons = [c.address("control") for c in self.site.coordinators]
        random.shuffle(daemons)
        if self.beat_to:
            daemons.insert(0, self.beat_to)
        for address in daemons:
            status, _, text = await call(address, "PUT", f"/api/instances/{self.id}", body)
            if 200 <= status < 300:
                self.beat_acked = time.monotonic()
                self.beat_to = json.loads(text or b"{}").get("beatAddr", address)
                return True
            self.beat_to = None
        return False

    async def beat_forever(self):
        while self.is_up:
            begin = time.monotonic()
            await self.beat()
            await asyncio.sleep(max(0.05, BEAT_S - (time.monotonic() - begin)))

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                size = int(head.get("Content-Length") or 0)
                body = await reader.readexactly(size) if size else b""
                if not await self.answer(head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body, reader, writer):
        method, target, _ = head.start.split(" ")
        expected = head.get("Ebonythread-Expect-Instance")
        identity = [("Ebonythread-Instance-Id", self.id), ("Keep-Alive", "timeout=5")]
        if expected is not None and expected != self.id:
            writer.write(render("HTTP/1.1 421 Misdirected Request",
                                identity + [("Content-Length", 0), ("Ebonythread-Not-Run", "1")]))
            return True
        if target == "/healthz":
            writer.write(render("HTTP/1.1 200 OK", identity + [("Content-Length", 0)]))
            return True
        if target == "/api/report":
            text = json.dumps({"stage": "both", "models": self.models, "busy": False,
                               "seq": self.orders, "waiting": 0, "running": 0, "kvUsed": 0,
                               "kvTotal": 100000, "handles": 0, "coming": []}).encode()
            writer.write(render("HTTP/1.1 200 OK", identity + [
                ("Content-Type", "application/json"), ("Content-Length", len(text))], text))
            return True
        if target == "/api/order":
            self.apply_order(json.loads(body))
            writer.write(render("HTTP/1.1 202 Accepted", identity + [("Content-Length", 0)]))
            return True
        return await self.site.on_request(self, head, target, body, reader, writer)

    def apply_order(self, order):
        self.orders += 1
        for model in [m for m in self.models if m["name"] == order["model"]]:
            if "adapter" in order:
                names = [a for a in model["adapters"] if a != order["adapter"]]
                model["adapters"] = names + ([order["adapter"]] if order["op"] == "load" else [])
            elif order["op"] == "unload":
                self.models.remove(model)
                return
        if order["op"] == "load" and "adapter" not in order:
            if order["model"] not in [m["name"] for m in self.models]:
                self.models.append({"name": order["model"], "version": 1, "adapters": []})

    async def stop(self):
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        if self.listener:
            self.listener.close()


class Site:
    """All processes and stand-ins, and the record of what was sent and answered."""

    def __init__(self, record, coordinators=3, gateways=2):
        self.record_path = pathlib.Path(record)
        self.record_path.write_text("")
        self.began = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randrange(20, 250)}"
        self.ports = self.pick_ports()
        self.servers = []
        self.on_request = plain_answer
        self.coordinators, self.gateways = [], []
        seeds = [f"{self.net}.1.{i + 1}:{self.ports['control']}" for i in range(min(3, coordinators))]
        for i in range(coordinators):
            self.coordinators.append(Process(
                self, f"core-{ZONES[i % 3]}-{i}", "ebony_coordinator", f"{self.net}.1.{i + 1}",
                ZONES[i % 3], seeds, ["control", "directory"]))
        for i in range(gateways):
            self.gateways.append(Process(
                self, f"edge-{ZONES[i % 3]}-{i}", "ebony_gateway", f"{self.net}.2.{i + 1}",
                ZONES[i % 3], seeds, ["edge"]))

    def pick_ports(self):
        base = random.randrange(20000, 40000, 40)
        while not all(self.is_free(base + i) for i in range(40)):
            base = random.randrange(20000, 40000, 40)
        return {"control": base, "directory": base + 1, "front": base + 2, "ready": base + 3,
                "server": base + 4, "range": base + 10}

    def is_free(self, port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"{self.net}.1.1", port))
                return True
            except OSError:
                return False

    def now(self):
        return time.monotonic() - self.began

    def note(self, text):
        with open(self.record_path, "a") as out:
            out.write(f"{self.now():8.3f} {text}\n")

    def processes(self):
        return self.coordinators + self.gateways

    async def start(self):
        for process in self.processes():
            process.start(is_first=True)
        for server in self.servers:
            await server.start()

    async def add_server(self, name, service, index, **kind):
        server = Server(self, name, service, f"{self.net}.3.{index}", **kind)
        self.servers.append(server)
        return server

    async def wait_ready(self, limit=15):
        """Waits until the platform's own check finds all gateways ready."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            states = [await call(g.address("ready"), "GET", "/api/ready") for g in self.gateways]
            if all(state[0] == 200 for state in states):
                return True
            await asyncio.sleep(0.2)
        return False

    async def operator_call(self, method, body, limit, first=None):
        """Calls the operator's interface: (status, text); 0 without a clear answer."""
        end = time.monotonic() + limit
        wait = 0.1
        while time.monotonic() < end:
            address = first or random.choice(self.coordinators).address("control")
            first = None
            for _ in range(3):
                status, head, text = await call(address, method, "/api/config", body, 1.0)
                location = head.get("Location") if status == 307 else None
                if location is None:
                    break
                address = location[len("http://"):].split("/")[0]
            if status in (200, 400, 409, 412, 413, 422):
                return status, text
            await asyncio.sleep(wait)
            wait = min(1.0, wait * 2)
        return 0, b""

    async def put_config(self, config, limit=10):
        status, _ = await self.operator_call("PUT", json.dumps(config).encode(), limit)
        self.note(f"operator: PUT /api/config version {config['version']} -> {status}")
        return status

    async def read_config(self, limit=3):
        status, text = await self.operator_call("GET", b"", limit)
        version = json.loads(text)["version"] if status == 200 else None
        self.note(f"operator: GET /api/config -> {status}, version {version}")
        return version

    async def stop(self):
        for server in self.servers:
            await server.stop()
        for process in self.processes():
            process.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def answer_fields(server, request_id):
    return [("Ebonythread-Request-Id", request_id),
            ("Ebonythread-Response-Seal", f"seal.{server.id}.{request_id}"),
            ("Keep-Alive", "timeout=5")]


async def plain_answer(server, head, target, body, reader, writer):
    """A sound server's answer at once."""
    request_id = head.get("Ebonythread-Request-Id")
    server.site.note(f"server {server.id}: runs {request_id} {target}")
    text = f"{server.id} {request_id}".encode()
    writer.write(render("HTTP/1.1 200 OK", answer_fields(server, request_id) +
                        [("Content-Length", len(text))], text))
    return True


def request_bytes(path, request_id, deadline_ms, method="GET", body=b"", fields=()):
    extra = [("Content-Length", len(body))] if body or method != "GET" else []
    return render(f"{method} {path} HTTP/1.1",
                  [("Host", HOST), ("Ebonythread-Request-Id", request_id),
                   ("Ebonythread-Deadline-Ms", deadline_ms)] + list(fields) + extra, body)


class Client:
    """A connection of a client."""

    def __init__(self, site, gateway):
        self.site, self.gateway = site, gateway
        self.reader = self.writer = None

    async def connect(self):
        ip, port = self.gateway.address("front").rsplit(":", 1)
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection(ip, int(port), limit=1 << 22), 1.0)

    def send(self, raw):
        self.writer.write(raw)

    async def read(self):
        return await read_answer(self.reader)

    def close(self):
        if self.writer:
            self.writer.close()


async def request(site, gateway, path, request_id, deadline_ms, **kind):
    """One request on a new connection: (status, head, body, is_complete)."""
    client = Client(site, gateway)

    async def run():
        await client.connect()
        client.send(request_bytes(path, request_id, deadline_ms, **kind))
        return await client.read()

    try:
        head, body, is_complete = await asyncio.wait_for(run(), deadline_ms / 1000)
        return (head.status if head else 0), head, body, is_complete
    except (OSError, asyncio.TimeoutError):
        return 0, None, b"", False
    finally:
        client.close()


def route(name, service, kind, timeout_ms, target_ms, **more):
    rule = {"name": name, "host": HOST, "pathPrefix": f"/{name}/", "kind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "priority": 1,
            "service": service, "maxAttempts": 2, "sticky": False}
    rule.update(more)
    return rule


LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
          "idleTimeoutMs": 15000}


def config(version, routes, services):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConns": 100,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": LIMITS}


def run_case(main):
    """Runs a case: `main(trouble)` returns 0 (held), 1 (broken) or 2 (couldn't run)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    if not (BIN / "ebony_gateway").exists():
        return 2
    try:
        return asyncio.run(asyncio.wait_for(main(trouble), 110))
    except asyncio.TimeoutError:
        return 2
