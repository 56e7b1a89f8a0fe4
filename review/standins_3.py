"""Stand-ins of the third review: a small deployment on loopback, its backend servers, clients, operator and platform.

The programs under test are started with the commands of deploy/system.toml and get settings as the templates there
are filled in. Backend servers and clients follow PROTOCOL.md; the platform restarts processes that end.
"""
import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "citronpulley_platform"
HOST = "nets.example"
ZONES = {"manta-a": "costa-norte", "manta-b": "costa-norte", "quito-a": "sierra", "quito-b": "sierra"}
MEMORY_MB = 182          # of an entry VM, as on the vera-redes site
RESTART_DELAY_S = 0.3    # the platform starts a process again after a short delay
NOT_RUN = (408, 421, 429, 503)  # these statuses promise that the request has not run
HELD, BROKEN, NOT_RUNNABLE = 0, 1, 2


class CannotRun(Exception):
    """The case could not be carried out; says nothing about the rule."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def find_ports(addresses, count):
    """Returns the first of `count` consecutive ports that are free at all addresses."""
    for base in range(20000 + os.getpid() % 9000, 32000, count):
        sockets = []
        try:
            for address in addresses:
                for port in range(base, base + count):
                    sockets.append(socket.socket())
                    sockets[-1].bind((address, port))
            return base
        except OSError:
            continue
        finally:
            for opened in sockets:
                opened.close()
    raise CannotRun("no free ports")


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_response(reader):
    line, fields = await read_head(reader)
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return int(line.split()[1]), fields, body


class Record:
    """Writes record.txt beside the script, with times since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begun = time.monotonic()

    def write(self, text):
        self.file.write(f"{time.monotonic() - self.begun:8.3f} {text}\n")
        self.file.flush()


class Process:
    """Process of the system on one VM."""

    def __init__(self, deployment, role, number, zone):
        self.deployment, self.role, self.zone = deployment, role, zone
        self.name = f"{role}-{number}"
        self.ip = f"127.{deployment.octet}.{0 if role == 'control' else 1}.{number + 1}"
        self.handle = None
        self.is_wanted = False
        self.ends = 0

    @property
    def caller_address(self):
        return self.ip, self.deployment.port + 3

    @property
    def control_address(self):
        return self.ip, self.deployment.port + 1

    def write_settings(self, is_first_start):
        port = self.deployment.port
        seeds = json.dumps([f"{c.ip}:{port + 1}" for c in self.deployment.controls[:3]])
        lines = [f'vm = "{self.name}"', f'ip = "{self.ip}"', f"internal_port = {port}", f"control_vms = {seeds}",
                 f'metrics_address = "{self.ip}:{port + 5}"']
        if self.role == "control":
            lines += [f'control_address = "{self.ip}:{port + 1}"', f'directory_address = "{self.ip}:{port + 2}"',
                      f'data_folder = "{self.deployment.folder}/{self.name}"',
                      f"first_start = {str(is_first_start).lower()}", "[bounds]", 'key_withdrawal = "5000ms"',
                      'rate_window = "5s"', "rate_overage = 0.1", "rate_slack = 20"]
        else:
            lines += [f'zone = "{self.zone}"', f'region = "{ZONES[self.zone]}"',
                      f'caller_address = "{self.ip}:{port + 3}"', f'ready_address = "{self.ip}:{port + 4}"',
                      f"memory_mb = {MEMORY_MB}", "[bounds]", 'grace = "6s"', 'key_withdrawal = "5000ms"', "[zones]"]
            lines += [f'"{zone}" = "{region}"' for zone, region in ZONES.items()]
        path = pathlib.Path(self.deployment.folder) / f"{self.name}.toml"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    async def start(self, is_first_start=False):
        path = self.write_settings(is_first_start)
        log = open(f"{self.deployment.folder}/{self.name}.log", "ab")
        self.handle = await asyncio.create_subprocess_exec(
            str(PROGRAM), self.role, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log, cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "CITRONPULLEY_BOOT": str(path)})
        log.close()
        self.is_wanted = True

    def send_signal(self, number):
        if self.handle and self.handle.returncode is None:
            self.handle.send_signal(number)

    def get_memory_mb(self):
        try:
            status = pathlib.Path(f"/proc/{self.handle.pid}/status").read_text(encoding="utf-8")
            return int(status.split("VmRSS:")[1].split()[0]) / 1024
        except (OSError, IndexError):
            return 0.0


class Backend:
    """Backend server; a sound one unless a case changes its behaviour."""

    def __init__(self, deployment, number, service, zone, work_s, slots=6):
        self.deployment, self.service, self.zone = deployment, service, zone
        self.number, self.work_s, self.slot_count = number, work_s, slots
        self.id = f"i-{service}-{number}-{os.getpid()}"
        self.ip = f"127.{deployment.octet}.2.{number + 1}"
        self.born_ms, self.sequence, self.state = int(time.time() * 1000), 0, "ready"
        self.slots = asyncio.Semaphore(slots)
        self.running = 0
        self.is_announcing = True
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        self.deployment.spawn(self.announce())

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                await self.answer(line, fields, body, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    def encode(self, status, fields, body, extra=""):
        return (f"HTTP/1.1 {status}\r\nRequest-Id: {fields.get('request-id', '')}\r\n"
                f"Server-Load: {self.running},0,{self.slot_count}\r\nKeep-Alive: timeout=15\r\n{extra}"
                f"Content-Length: {len(body)}\r\n\r\n").encode() + body

    async def answer(self, line, fields, body, writer):
        if fields.get("expect-instance", self.id) != self.id:
            writer.write(self.encode("421 Misdirected Request", fields, b"", "Not-Executed: 1\r\n"))
            await writer.drain()
            return
        async with self.slots:
            self.running += 1
            try:
                await self.run(line, fields, body, writer)
            finally:
                self.running -= 1

    async def run(self, line, fields, body, writer):
        self.deployment.record_run(self, line, fields)
        await asyncio.sleep(self.work_s)
        text = fields.get("request-id", "").encode()
        writer.write(self.encode("200 OK", fields, text, f"Server-Signature: {self.id}\r\n"))
        await writer.drain()

    def make_announcement(self):
        self.sequence += 1
        return json.dumps({"Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
                           "Version": "v1", "Slots": self.slot_count, "State": self.state, "WarmupLeft": "0ms",
                           "Seq": self.sequence, "born": self.born_ms})

    async def announce(self):
        while True:
            if self.is_announcing:
                await self.deployment.call_control("POST", f"/-/instances/{self.id}/heartbeat",
                                                   self.make_announcement())
            await asyncio.sleep(1.5)


class Deployment:
    """Control VMs, entry VMs and backend servers of one run."""

    def __init__(self, record, control_count=3, entry_zones=("manta-a", "manta-b")):
        self.record = record
        self.octet = 20 + os.getpid() % 200
        self.folder = tempfile.mkdtemp(prefix="citronpulley-review-")
        self.port = 0
        zones = list(ZONES)
        self.controls = [Process(self, "control", i, zones[i % len(zones)]) for i in range(control_count)]
        self.entries = [Process(self, "entry", i, zone) for i, zone in enumerate(entry_zones)]
        self.backends = []
        self.tasks = []
        self.runs = {}   # request id -> list of (time, id of the backend server)
        self.version = 0

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    def record_run(self, backend, line, fields):
        request = fields.get("request-id", "")
        self.runs.setdefault(request, []).append((time.monotonic(), backend.id))
        self.record.write(f"run {request} at {backend.id}: {line}")

    async def call(self, address, method, path, body="", timeout=1.0, redirects=2):
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(body)}\r\n\r\n{body}".encode())
                status, fields, text = await read_response(reader)
            if status == 307 and redirects > 0:
                host, port = fields["location"].removeprefix("http://").split("/")[0].split(":")
                return await self.call((host, int(port)), method, path, body, timeout, redirects - 1)
            return status, text.decode("latin-1")
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError, IndexError, KeyError):
            return 0, ""
        finally:
            if writer:
                writer.close()

    async def call_control(self, method, path, body=""):
        """Calls the control VMs in turn until one gives a clear answer."""
        status, text = 0, ""
        for control in self.controls:
            status, text = await self.call(control.control_address, method, path, body)
            if status and status < 500:
                break
        return status, text

    async def put_config(self, config, patience_s=15):
        """Sends a configuration until it is acknowledged."""
        version = self.version + 1
        body = json.dumps({"Version": f"r{version}", "BaseVersion": f"r{self.version}" if self.version else 0,
                           **config})
        deadline = time.monotonic() + patience_s
        while time.monotonic() < deadline:
            status, text = await self.call_control("POST", "/-/config/put", body)
            if status == 200:
                self.version = version
                return
            if status in (400, 409, 412, 413, 422):
                raise CannotRun(f"the configuration was refused with {status}: {text[:200]}")
            await asyncio.sleep(0.2)
        raise CannotRun("the configuration was not acknowledged")

    async def start(self, config, backends):
        if not PROGRAM.exists():
            raise CannotRun(f"{PROGRAM.name} is not built")
        self.port = find_ports([p.ip for p in self.controls + self.entries], 8)
        for process in self.controls + self.entries:
            await process.start(is_first_start=process.role == "control")
        await self.put_config(config)
        self.backends = backends
        for backend in backends:
            await backend.start()
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            ready = [await self.call((e.ip, self.port + 4), "GET", "/-/readyz") for e in self.entries]
            if all(status == 200 for status, _ in ready):
                await asyncio.sleep(2.0)   # until the entry VMs know all backend servers
                return
            await asyncio.sleep(0.2)
        raise CannotRun("the entry VMs did not become ready")

    async def watch(self, on_end=None, memory_limit_mb=None):
        """Acts as the platform: kills processes above their memory, and starts again those that ended."""
        while True:
            for process in self.controls + self.entries:
                if not process.is_wanted:
                    continue
                if memory_limit_mb and process.role == "entry" and process.handle.returncode is None:
                    used = process.get_memory_mb()
                    if used > memory_limit_mb:
                        self.record.write(f"{process.name} uses {used:.0f} MB, over {memory_limit_mb} MB: killed")
                        process.send_signal(signal.SIGKILL)
                        await process.handle.wait()
                if process.handle.returncode is not None:
                    process.ends += 1
                    self.record.write(f"{process.name} ended with {process.handle.returncode}")
                    if on_end:
                        on_end(process)
                    await asyncio.sleep(RESTART_DELAY_S)
                    await process.start()
            await asyncio.sleep(0.02)

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.controls + self.entries:
            process.is_wanted = False
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGKILL)
            if process.handle:
                await process.handle.wait()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def make_config(routes, services, tenants=None, limits=None, is_sticky=False):
    """routes: list of (name, kind, prefix, service, timeout_ms, attempts, is_open)."""
    rules = [{"Name": name, "Kind": kind, "Aim": "250ms", "Priority": 1, "AllowAnonymous": is_open, "Sticky": is_sticky,
              "Match": {"PathPrefix": prefix},
              "Action": {"Service": service, "Timeout": f"{timeout}ms", "MaxAttempts": attempts, "AllowedRegions": []}}
             for name, kind, prefix, service, timeout, attempts, is_open in routes]
    config = {"Limits": limits or {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
                                   "IdleTimeout": "15000ms"},
              "Listeners": [{"Host": HOST, "Rules": rules}],
              "Clusters": [{"Name": service, "HealthCheckPath": "/healthz", "MaxConnections": 660, "Protocol": "h1",
                            "Tls": False, "Warmup": "3s", "WarmupPerS": 16.0} for service in services]}
    if tenants:
        config["Tenants"] = tenants
    return config


def encode_request(method, path, request_id, deadline_ms, body_length=None, key=None, extra=""):
    text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request_id}\r\n"
            f"Deadline-Ms: {deadline_ms}\r\n{extra}")
    if key:
        text += f"Credential: {key}\r\n"
    if body_length is not None:
        text += f"Content-Length: {body_length}\r\n"
    return (text + "\r\n").encode()


def main(folder, case):
    """Runs a case: an async function of (record) that returns HELD or BROKEN."""
    record = Record(folder)

    async def guarded():
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        async with asyncio.timeout(110):
            return await case(record)

    try:
        code = asyncio.run(guarded())
    except (CannotRun, asyncio.TimeoutError, OSError) as failure:
        record.write(f"the case could not run: {type(failure).__name__} {failure}")
        code = NOT_RUNNABLE
    record.write(f"exit {code}, TROUBLE={'1' if trouble() else '0'}")
    sys.exit(code)
