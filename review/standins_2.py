"""Stand-ins of the second review: a small deployment on loopback, its operator, callers and backend servers.

The control VMs and entry VMs are the project's own program, started as deploy/system.toml says. Everything else runs
in the process of the case. Times in the record are seconds since the start of the case.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target" / "citronpulley_platform"
HOST = "review.example"
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south", "south-b": "south"}
HEARTBEAT_S = 1.5          # `Heartbeat` of the settings
SETTLE_S = 3.0             # `SettleWindow`
RESTART_DELAY_S = 0.5      # the platform restarts a process that ended after a short delay
PROMISES = (408, 421, 429, 503)   # statuses that promise that the request has not run and never will

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class Record:
    """Text file of what was sent, answered and run."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP message with a length. Returns (first line, fields, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {name.strip().lower(): value.strip()
              for name, _, value in (line.partition(":") for line in lines[1:] if line)}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


async def call(address, method, path, fields=None, body=b"", timeout=1.0, raw=None):
    """Sends one request on a new connection. Returns (status, fields, body); status 0 means no answer."""
    host, port = address.split(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            if raw is None:
                head = [f"{method} {path} HTTP/1.1"]
                head += [f"{name}: {value}" for name, value in {"Host": HOST, **(fields or {})}.items()]
                if body or method in ("POST", "PUT"):
                    head.append(f"Content-Length: {len(body)}")
                raw = "\r\n".join(head).encode() + b"\r\n\r\n" + body
            writer.write(raw)
            line, answer, content = await read_message(reader)
            return int(line.split()[1]), answer, content
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, TimeoutError, ValueError, IndexError):
        return 0, {}, b""
    finally:
        if writer:
            writer.close()


def find_port_block(addresses, count):
    """Returns the first of `count` ports in a row that are free on all addresses."""
    for _ in range(200):
        first = random.randrange(20000, 32000)
        held = []
        try:
            for address in addresses:
                for port in range(first, first + count):
                    probe = socket.socket()
                    held.append(probe)
                    probe.bind((address, port))
            return first
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
    raise RuntimeError("no free ports")


class Process:
    """Process of a control VM or an entry VM. The platform starts it again when it has ended."""

    def __init__(self, deployment, role, number):
        self.deployment, self.role, self.number = deployment, role, number
        self.name = f"{role}-{number}"
        self.ip = f"127.{deployment.net}.{0 if role == 'control' else 1}.{number + 1}"
        self.zone = list(ZONES)[number % len(ZONES)]
        self.handle = None
        self.own_ends = 0       # ends that no signal of the case caused
        self.is_stopping = False
        self.pending_kills = 0

    def settings(self, is_first_start):
        port = self.deployment.port
        seeds = json.dumps([f"{process.ip}:{port + 1}" for process in self.deployment.controls[:3]])
        text = f'vm = "{self.name}"\nip = "{self.ip}"\ninternal_port = {port}\ncontrol_vms = {seeds}\n'
        if self.role == "control":
            folder = self.deployment.folder / self.name
            folder.mkdir(exist_ok=True)
            return text + (f'control_address = "{self.ip}:{port + 1}"\ndirectory_address = "{self.ip}:{port + 2}"\n'
                           f'data_folder = "{folder}"\nfirst_start = {str(is_first_start).lower()}\n'
                           '[bounds]\nkey_withdrawal = "5000ms"\nrate_window = "5s"\n'
                           'rate_overage = 0.1\nrate_slack = 20\n')
        return text + (f'zone = "{self.zone}"\nregion = "{ZONES[self.zone]}"\ncaller_address = "{self.front}"\n'
                       f'ready_address = "{self.ip}:{port + 4}"\nmemory_mb = 182\n'
                       '[bounds]\ngrace = "6s"\nkey_withdrawal = "5000ms"\n[zones]\n'
                       + "".join(f'"{zone}" = "{region}"\n' for zone, region in ZONES.items()))

    @property
    def front(self):
        return f"{self.ip}:{self.deployment.port + 3}"

    @property
    def control(self):
        return f"{self.ip}:{self.deployment.port + 1}"

    @property
    def directory(self):
        return f"{self.ip}:{self.deployment.port + 2}"

    async def start(self, is_first_start=False):
        path = self.deployment.folder / f"{self.name}.toml"
        path.write_text(self.settings(is_first_start), encoding="utf-8")
        environment = {"PATH": os.environ.get("PATH", ""), "CITRONPULLEY_BOOT": str(path)}
        with open(self.deployment.folder / f"{self.name}.log", "ab") as log:
            self.handle = await asyncio.create_subprocess_exec(
                str(PROGRAM), self.role, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)

    async def supervise(self):
        await self.start(is_first_start=True)
        while True:
            code = await self.handle.wait()
            if self.is_stopping:
                return
            if self.pending_kills:
                self.pending_kills -= 1
                self.deployment.record.write(f"{self.name} ended, as the case asked")
            else:
                self.own_ends += 1
                self.deployment.record.write(f"{self.name} ended by itself, exit {code}; last line: {self.last_line()}")
            await asyncio.sleep(RESTART_DELAY_S)
            if self.is_stopping:
                return
            await self.start()
            self.deployment.record.write(f"{self.name} is started again")

    def last_line(self):
        text = (self.deployment.folder / f"{self.name}.log").read_text(errors="replace").strip().splitlines()
        return text[-1][:160] if text else ""

    def kill(self):
        self.pending_kills += 1
        self.deployment.record.write(f"SIGKILL to {self.name}")
        self.handle.send_signal(signal.SIGKILL)


class Deployment:
    """Control VMs and entry VMs of a small deployment, in a temporary folder."""

    def __init__(self, record, controls=3, entries=4):
        self.record = record
        self.net = random.randrange(40, 120)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-2-"))
        self.controls = [Process(self, "control", i) for i in range(controls)]
        self.entries = [Process(self, "entry", i) for i in range(entries)]
        self.port = find_port_block([p.ip for p in self.controls + self.entries], 5)
        self.tasks = []

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.append(task)
        return task

    async def start(self):
        for process in self.controls + self.entries:
            self.spawn(process.supervise())
        await asyncio.sleep(0.3)

    async def stop(self):
        for process in self.controls + self.entries:
            process.is_stopping = True
        # Starts that are under way end first; supervise() begins no others.
        await asyncio.sleep(0.2)
        for process in self.controls + self.entries:
            if process.handle and process.handle.returncode is None:
                process.handle.kill()
                await process.handle.wait()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def order(self, method, path, body=b"", for_s=4.0):
        """Sends an order as the operator's page says: any daemon, 307 followed twice, sent again after a failure."""
        until = time.monotonic() + for_s
        last = 0
        while time.monotonic() < until:
            address = random.choice(self.controls).control
            for _ in range(3):
                last, fields, content = await call(address, method, path, body=body)
                if last != 307:
                    break
                address = fields["location"].removeprefix("http://").split("/")[0]
            if 200 <= last < 300 or last in (400, 409, 412, 413, 422):
                return last, content
            await asyncio.sleep(0.2)
        return last, b""

    async def put_config(self, version, base, workspaces, routes, services, for_s=4.0):
        """`workspaces`: name -> (keys, rate, burst); `routes`: (prefix, kind, service, attempts, timeout in ms)."""
        rules = [{"Name": f"r{number}", "Kind": kind, "Aim": "400ms", "Priority": 1, "AllowAnonymous": False,
                  "Sticky": False, "Match": {"PathPrefix": prefix},
                  "Action": {"Service": service, "Timeout": f"{timeout}ms", "MaxAttempts": attempts,
                             "AllowedRegions": []}}
                 for number, (prefix, kind, service, attempts, timeout) in enumerate(routes)]
        config = {"Version": f"r{version}", "BaseVersion": f"r{base}" if base else 0,
                  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms",
                             "IdleTimeout": "15000ms"},
                  "Tenants": [{"Name": name, "ApiKeys": keys, "Priority": 1, "RatePerS": rate, "Burst": burst,
                               "AllowedRegions": []} for name, (keys, rate, burst) in workspaces.items()],
                  "Listeners": [{"Host": HOST, "Rules": rules}],
                  "Clusters": [{"Name": name, "HealthCheckPath": "/healthz", "MaxConnections": 780, "Protocol": "h1",
                                "Tls": False, "Warmup": "3s", "WarmupPerS": 16.0} for name in services]}
        status, _ = await self.order("POST", "/-/config/put", json.dumps(config).encode(), for_s)
        self.record.write(f"the operator's configuration r{version} on r{base} is answered {status}")
        return status

    def find_leader(self):
        """Returns the control VM whose log named itself as the leader last."""
        latest, found = -1, None
        for process in self.controls:
            path = self.folder / f"{process.name}.log"
            for line in path.read_text(errors="replace").splitlines():
                if '"event":"leader"' in line:
                    entry = json.loads(line)
                    if int(entry["term"]) > latest:
                        latest = int(entry["term"])
                        found = entry["leader"].split(":")[0]
        return next((process for process in self.controls if process.ip == found), None)


class Backend:
    """Sound backend server: serves requests one at a time on a connection, announces itself every heartbeat."""

    def __init__(self, deployment, number, service, work_s=0.05, slots=8):
        self.deployment, self.number, self.service = deployment, number, service
        self.work_s, self.slots = work_s, slots
        self.zone = list(ZONES)[number % len(ZONES)]
        self.ip = f"127.{deployment.net}.2.{number + 1}"
        self.port, self.server, self.writers = 0, None, set()
        self.start_number, self.id, self.born, self.sequence = 0, "", 0, 0
        self.running = 0
        self.is_up = False
        self.control = deployment.controls[number % len(deployment.controls)]
        self.runs = []          # (time, request id, path, workspace)
        self.runs_by = []       # the same with the identity of the incarnation in front
        self.crashing = None    # path whose requests crash the server when it begins to run them

    async def start(self):
        self.start_number += 1
        self.id = f"i-{self.service}-{self.number}-{self.start_number}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.is_up = True

    def crash(self, back_after_s):
        """Ends at once; comes back at its address as a new incarnation."""
        self.is_up = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.running = 0

        async def come_back():
            await asyncio.sleep(back_after_s)
            await self.start()
        self.deployment.spawn(come_back())

    def warmup_left_s(self):
        return 0.0

    def begin(self, request):
        """Called when a request begins to run."""

    async def stay_silent(self, start):
        """Called in place of an answer of a start that has crashed; returns when its connections may end."""

    async def announce(self):
        while True:
            if self.is_up:
                await self.tell(f"/-/instances/{self.id}/heartbeat", "ready")
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def tell(self, path, state):
        self.sequence += 1
        body = json.dumps({"Service": self.service, "Address": f"{self.ip}:{self.port}", "Zone": self.zone,
                           "Version": "v1", "Slots": self.slots, "State": state,
                           "WarmupLeft": f"{self.warmup_left_s() * 1000:.0f}ms",
                           "Seq": self.sequence, "born": self.born}).encode()
        controls = self.deployment.controls
        for _ in controls:
            status, _, _ = await call(self.control.control, "POST", path, body=body)
            if 200 <= status < 300:
                return True
            self.control = controls[(controls.index(self.control) + 1) % len(controls)]
        return False

    async def serve(self, reader, writer):
        self.writers.add(writer)
        start = self.start_number
        try:
            while True:
                line, fields, _ = await read_message(reader)
                if start != self.start_number or not self.is_up:
                    await self.stay_silent(start)
                    return
                path = line.split()[1]
                request = fields.get("request-id", "")
                extra, body = "", request.encode()
                if path == "/healthz":
                    writer.write(f"HTTP/1.1 200 OK\r\nInstance-Id: {self.id}\r\nWarmup-Ms: "
                                 f"{self.warmup_left_s() * 1000:.0f}\r\nContent-Length: 0\r\n\r\n".encode())
                    await writer.drain()
                    continue
                if fields.get("expect-instance", self.id) != self.id:
                    status = "421 Misdirected Request"
                elif self.running >= self.slots:
                    status, extra = "503 Service Unavailable", "Not-Executed: 1\r\n"
                else:
                    self.runs.append((time.monotonic(), request, path, fields.get("tenant-id", "")))
                    self.runs_by.append((self.id, *self.runs[-1]))
                    self.begin(request)
                    if not self.is_up:
                        return
                    if path == self.crashing:
                        self.crash(2.0)
                        await self.stay_silent(start)
                        return
                    self.running += 1
                    await asyncio.sleep(self.work_s)
                    if start != self.start_number or not self.is_up:
                        await self.stay_silent(start)
                        return
                    self.running -= 1
                    status, extra = "200 OK", f"Server-Signature: {self.id}\r\n"
                writer.write((f"HTTP/1.1 {status}\r\nRequest-Id: {request}\r\n"
                              f"Server-Load: {self.running},0,{self.slots}\r\n{extra}"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def wait_until_served(deployment, path, key, for_s=12.0):
    """Waits until every entry VM serves a request of the path. Returns False when one does not."""
    until = time.monotonic() + for_s
    for entry in deployment.entries:
        status = 0
        while status != 200:
            if time.monotonic() > until:
                return False
            status, _, _ = await call(entry.front, "GET", path,
                                      {"Request-Id": f"wait-{random.getrandbits(48):x}", "Deadline-Ms": "1000",
                                       "Credential": key})
            await asyncio.sleep(0.1)
    return True


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case, record_path, entries=4):
    """Runs a case within its time and exits with its outcome."""
    record = Record(record_path)

    async def main():
        deployment = Deployment(record, entries=entries)
        try:
            async with asyncio.timeout(110):
                return await case(deployment, record)
        except Exception as failure:  # the case could not be judged
            record.write(f"could not run: {type(failure).__name__} {failure}")
            return COULD_NOT_RUN
        finally:
            await deployment.stop()

    if not PROGRAM.exists():
        record.write("could not run: the program is not built")
        sys.exit(COULD_NOT_RUN)
    outcome = asyncio.run(main())
    record.write(f"exit {outcome}")
    sys.exit(outcome)
