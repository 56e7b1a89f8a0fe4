"""Stand-ins for the scripts of the review: targets, clients, the operator and the platform of a small deployment.

The programs of the project run as separate processes on loopback addresses, started with the commands of
deploy/system.toml and settings made from its templates. Everything else is played by coroutines of this process.
"""
import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "shop.example"
SETTLE_S = 3.0        # SettleWindow
DRAIN_S = 2.5         # Drain
HEARTBEAT_S = 1.5     # Heartbeat
CALL_TIMEOUT_S = 1.0  # time after which a caller of control_plane moves on
ENDED = (asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.TimeoutError, OSError, ValueError, IndexError)
BOUNDS = {"SettleWindow": "3000ms", "Grace": "6s", "Revoke": "5000ms", "QuotaWindow": "5s", "QuotaOverage": 0.1,
          "QuotaSlack": 20}


class CannotRun(Exception):
    """The deployment did not come up, so the case says nothing."""


async def read_message(reader):
    """Reads one HTTP message with a length. Returns (first line, fields by lower-case name, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


async def call_once(address, method, path, body="", timeout=CALL_TIMEOUT_S):
    """Sends one request on a new connection. Returns (status, fields, body); status 0 is no answer."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n"
                         f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
            line, fields, text = await read_message(reader)
        return int(line.split()[1]), fields, text
    except ENDED:
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


async def call(address, method, path, body="", timeout=CALL_TIMEOUT_S):
    """As call_once(), and follows up to two redirects."""
    status, fields, text = 0, {}, b""
    for _ in range(3):
        status, fields, text = await call_once(address, method, path, body, timeout)
        if status != 307:
            break
        address = fields.get("location", "").removeprefix("http://").split("/")[0]
    return status, text, address


class Process:
    """One process of the system on its own loopback address."""

    def __init__(self, deployment, role, name, ip, zone=""):
        self.deployment, self.role, self.name, self.ip, self.zone = deployment, role, name, ip, zone
        self.handle = None
        port = deployment.port
        self.control, self.directory = f"{ip}:{port + 1}", f"{ip}:{port + 2}"
        self.front, self.ready = f"{ip}:{port + 3}", f"{ip}:{port + 4}"

    def fields(self, is_first_start):
        """The fields of the platform's settings file that the templates name."""
        deployment = self.deployment
        return {"NodeName": self.name, "Ip": self.ip, "Zone": self.zone, "Region": deployment.zones.get(self.zone, ""),
                "Zones": deployment.zones, "InternalPortRange": [deployment.port, deployment.port + 15],
                "ListenAddrs": {"Front": self.front, "Ready": self.ready, "Control": self.control,
                                "Directory": self.directory},
                "Seeds": [process.control for process in deployment.controls], "Bootstrap": is_first_start,
                "DataDir": f"{deployment.folder}/{self.name}.data", "Limits": {"MemoryMb": 182}, "Bounds": BOUNDS}

    async def start(self, is_first_start=False):
        path = f"{self.deployment.folder}/{self.name}.toml"
        with open(path, "w", encoding="utf-8") as file:
            file.write(render(self.deployment.template(self.role), self.fields(is_first_start)))
        log = open(f"{self.deployment.folder}/{self.name}.log", "ab")
        self.handle = await asyncio.create_subprocess_exec(
            *self.deployment.command(self.role), stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "CITRONPULLEY_BOOT": path})
        log.close()
        self.deployment.note(f"{self.name} is started")

    def send_signal(self, number):
        if self.handle and self.handle.returncode is None:
            self.handle.send_signal(number)
            self.deployment.note(f"{self.name} gets {signal.Signals(number).name}")

    async def kill_and_restart(self, pause):
        """SIGKILL; the platform starts the process again after a short delay."""
        self.send_signal(signal.SIGKILL)
        await self.handle.wait()
        await asyncio.sleep(pause)
        await self.start()


def render(template, fields):
    """Fills in a template as DEPLOY.md tells: values, {{name|json}} and sections."""
    def look_up(scope, name):
        if name == ".":
            return scope["."]
        if name == "@":
            return scope["@"]
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def fill_section(match, scope):
        value = look_up(scope, match[1])
        if value is None or value is False:
            return ""
        if isinstance(value, dict):
            return "".join(fill(match[2], {**scope, ".": entry, "@": key}) for key, entry in value.items())
        return fill(match[2], {**scope, ".": value, "@": ""})

    def fill(text, scope):
        text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", lambda match: fill_section(match, scope), text, flags=re.S)

        def value_of(match):
            value = look_up(scope, match[1])
            return json.dumps(value) if match[2] else str(value)
        return re.sub(r"\{\{([\w.@]+)(\|json)?\}\}", value_of, text)
    return fill(template, fields)


class Target:
    """Target of one service, as PROTOCOL.md tells: runs requests, sends heartbeats, drains, may crash."""

    def __init__(self, deployment, service, zone, ip, slots=6, run_s=0.05):
        self.deployment, self.service, self.zone, self.ip = deployment, service, zone, ip
        self.slots, self.run_s = slots, run_s
        self.port, self.server, self.writers = 0, None, set()
        self.state, self.is_up, self.starts = "ready", False, 0
        self.cold_until = 0.0
        self.daemons = deployment.control_order(zone)
        self.beats = None

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.starts += 1
        self.id = f"i-{self.service}-{self.ip.replace('.', '-')}-{self.starts}"
        self.born, self.seq = int(time.time() * 1000), 0
        self.running, self.free = 0, asyncio.Semaphore(self.slots)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.state, self.is_up = "ready", True
        self.deployment.note(f"{self.id} ({self.zone}, {self.address}) is up")
        self.beats = self.deployment.spawn(self.send_heartbeats())

    def stop(self):
        """Ends the process at once: nothing listens any more and open connections are reset."""
        self.is_up = False
        if self.beats:
            self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def crash_and_return(self, pause):
        self.deployment.note(f"{self.id} crashes")
        self.stop()
        await asyncio.sleep(pause)
        await self.start()

    async def tell(self, path, body, until_acknowledged=False):
        """Calls the daemon that answered last, the next one after a failure. Returns the one that answered, or ""."""
        while True:
            for _ in range(len(self.daemons)):
                status, _, answerer = await call(self.daemons[0], "POST", path, body)
                if 200 <= status < 300:
                    return answerer
                self.daemons.append(self.daemons.pop(0))
            if not until_acknowledged:
                return ""
            await asyncio.sleep(0.2)

    async def heartbeat(self, until_acknowledged=False):
        self.seq += 1
        body = json.dumps({"Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
                           "Slots": self.slots, "State": self.state, "Seq": self.seq, "born": self.born,
                           "WarmupLeft": f"{max(0, int(1000 * (self.cold_until - time.monotonic())))}ms"})
        return await self.tell(f"/-/instances/{self.id}/heartbeat", body, until_acknowledged)

    async def send_heartbeats(self):
        await asyncio.sleep(self.deployment.random.uniform(0, 0.3))
        while True:
            await self.heartbeat()
            await asyncio.sleep(HEARTBEAT_S)

    async def leave(self):
        """Says that it is draining until that is acknowledged; goes on to serve. Returns the time of the ack."""
        self.beats.cancel()
        self.state = "draining"
        self.deployment.note(f"{self.id} begins to leave and says so")
        answerer = await self.heartbeat(until_acknowledged=True)
        acked_at = time.monotonic()
        self.deployment.note(f"{self.id} is leaving: acknowledged by {answerer}")
        return acked_at

    async def deregister(self):
        """Deregisters, with no body, as `fleetbench wire` shows. Returns the time of the acknowledgement."""
        self.beats.cancel()
        self.state = "draining"
        self.deployment.note(f"{self.id} deregisters")
        answerer = await self.tell(f"/-/instances/{self.id}/deregister", "", until_acknowledged=True)
        acked_at = time.monotonic()
        self.deployment.note(f"{self.id} has deregistered: acknowledged by {answerer}")
        return acked_at

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, fields, body = await read_message(reader)
                method, path, _ = line.split()
                await self.answer(writer, method, path, fields, body)
        except ENDED:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, writer, method, path, fields, body):
        request, deployment = fields.get("request-id", ""), self.deployment
        peer = writer.get_extra_info("peername")[0]
        if fields.get("expect-instance", self.id) != self.id:
            await self.reply(writer, 421, request, f"Instance-Id: {self.id}\r\n")
            return
        deployment.on_arrival(self, request, peer, path, fields)
        if self.free.locked():
            await self.reply(writer, 503, request, "Not-Executed: 1\r\n")
            return
        async with self.free:
            self.running += 1
            deployment.on_run(self, request, peer, path, fields)
            await asyncio.sleep(self.run_s)
            self.running -= 1
        await self.reply(writer, 200, request, f"Server-Signature: {self.id}.{request}\r\n", f"answer to {request}")

    async def reply(self, writer, status, request, extra, text=""):
        leaving = "Connection: close\r\nServer-Leaving: 1\r\n" if self.state == "draining" else ""
        writer.write((f"HTTP/1.1 {status} Status\r\nRequest-Id: {request}\r\nServer-Load: {self.running},0,{self.slots}\r\n"
                      f"Keep-Alive: timeout=10\r\n{leaving}{extra}Content-Length: {len(text)}\r\n\r\n{text}").encode())
        await writer.drain()
        if leaving:
            raise OSError("closed after the answer")


class Deployment:
    """A small deployment, the operator, and the record of what clients and targets see."""

    def __init__(self, folder, zones, entries_a_zone, seed=None):
        self.zones, self.random = zones, random.Random(seed)
        with open(f"{ROOT}/deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.record = open(f"{folder}/record.txt", "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="citronpulley-review-")
        self.tasks, self.requests = [], 0
        self.net = f"127.{random.randint(20, 220)}"
        self.port = self.find_port()
        self.controls = [Process(self, "control", f"core-{zone}-1", f"{self.net}.0.{number + 1}", zone)
                         for number, zone in enumerate(zones)]
        self.entries = [Process(self, "entry", f"edge-{zone}-{index + 1}", f"{self.net}.1.{number * 10 + index + 1}", zone)
                        for number, zone in enumerate(zones) for index in range(entries_a_zone)]
        self.targets = []
        self.version = 0

    def template(self, role):
        with open(f"{ROOT}/{self.roles[role]['template']}", encoding="utf-8") as file:
            return file.read()

    def command(self, role):
        program, *words = self.roles[role]["run"].split()
        return [f"{ROOT}/{program}", *words]

    def find_port(self):
        """A range of ports below the ephemeral ones in which nothing listens on the net of this run."""
        for _ in range(100):
            port = random.randint(150, 1500) * 20
            try:
                for offset in range(5):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.0.1", port + offset))
                return port
            except OSError:
                continue
        raise CannotRun("no free ports")

    def control_order(self, zone):
        """The daemons that serve control_plane, the one of the zone first."""
        return [p.control for p in sorted(self.controls, key=lambda process: process.zone != zone)]

    def now(self):
        return time.monotonic() - self.begun

    def note(self, text):
        self.record.write(f"{self.now():8.3f} s  {text}\n")
        self.record.flush()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def on_arrival(self, target, request, peer, path, fields):
        """A request reaches a target that it names. Cases override this."""

    def on_run(self, target, request, peer, path, fields):
        """A target begins to run a request. Cases override this."""

    def entry_of(self, ip):
        return next((entry.name for entry in self.entries if entry.ip == ip), ip)

    async def start(self, config):
        """Starts all processes and targets and puts the first configuration."""
        for process in self.controls:
            await process.start(is_first_start=True)
        for process in self.entries:
            await process.start()
        await asyncio.sleep(1)
        for target in self.targets:
            await target.start()
        await self.put(config)
        for _ in range(150):
            answers = [await call_once(entry.ready, "GET", "/-/readyz") for entry in self.entries]
            if all(status == 200 for status, _, _ in answers):
                break
            await asyncio.sleep(0.1)
        else:
            raise CannotRun("an edge machine is not ready")
        await asyncio.sleep(HEARTBEAT_S + 1)

    async def put(self, config):
        """Puts the next configuration; resends it until it is acknowledged."""
        body = json.dumps({"Version": f"r{self.version + 1}", "BaseVersion": f"r{self.version}" if self.version else 0,
                           "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
                                      "IdleTimeout": "15000ms"}, **config})
        for _ in range(100):
            for process in self.controls:
                status, text, answerer = await call(process.control, "POST", "/-/config/put", body)
                if status == 200:
                    self.version += 1
                    self.note(f"configuration r{self.version} is acknowledged by {answerer}")
                    return time.monotonic()
                if status in (400, 412):
                    raise CannotRun(f"the configuration was refused: {status} {text!r}")
            await asyncio.sleep(0.1)
        raise CannotRun("the configuration was not acknowledged")

    async def find_leader(self):
        """The control machine that answers a read itself instead of redirecting it."""
        for _ in range(100):
            for process in self.controls:
                if process.handle.returncode is None:
                    status, _, _ = await call_once(process.control, "GET", "/-/config/get")
                    if status == 200:
                        return process
            await asyncio.sleep(0.1)
        raise CannotRun("no control machine leads")

    async def send(self, entry, method, path, key="", body="", deadline_ms=2000):
        """One client attempt on a new connection. Returns (request id, status); 0 is no answer."""
        self.requests += 1
        request, writer = f"q{self.requests:06d}", None
        credential = f"Credential: {key}\r\n" if key else ""
        host, port = entry.front.split(":")
        status = 0
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n"
                             f"Deadline-Ms: {deadline_ms}\r\n{credential}Content-Length: {len(body)}\r\n\r\n{body}".encode())
                line, _, _ = await read_message(reader)
            status = int(line.split()[1])
        except ENDED:
            pass
        finally:
            if writer:
                writer.close()
        return request, status

    async def end(self):
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for task in self.tasks:
            task.cancel()
        for target in self.targets:
            if target.is_up:
                target.stop()
        for process in self.controls + self.entries:
            if process.handle and process.handle.returncode is None:
                process.handle.send_signal(signal.SIGCONT)
                process.handle.send_signal(signal.SIGKILL)
                await process.handle.wait()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def play(make_deployment, run_case):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    async def main():
        deployment = make_deployment()
        try:
            verdict = await asyncio.wait_for(run_case(deployment), 110)
            deployment.note("the rule was broken" if verdict else "the rule held")
            return 1 if verdict else 0
        except (CannotRun, asyncio.TimeoutError, OSError) as failure:
            deployment.note(f"the case could not run: {failure!r}")
            return 2
        finally:
            await deployment.end()
    sys.exit(asyncio.run(main()))
