"""A request that crashes its servers comes again; they fall silent instead of resetting connections. See claim.txt."""
import asyncio
import pathlib
import random
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins_2 import (Backend, BROKEN, COULD_NOT_RUN, HELD, SETTLE_S, call, has_trouble, run_case,  # noqa: E402
                        wait_until_served)

CRASHING = "/post/crash"
DOWN_S = 4.0             # a crashed server is back after this time
DEADLINE_MS = 1500
ALLOWED_RETRIES = 3      # the rule: retries that may reach a server once it has crashed the third
RETRIES = 8
RETRY_PAUSE_S = 1.0


class SilentBackend(Backend):
    """Backend server whose machine falls silent when it crashes: open connections stay without an answer or an end,
    and attempts to connect get none. When it is back, its old connections are reset."""

    listener, accepting = None, None

    async def start(self):
        await super().start()
        if has_trouble():
            # The accept loop is the case's own, so that it can stop without closing the listening socket.
            self.server.close()
            self.listener = socket.socket()
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.listener.setblocking(False)
            self.listener.bind((self.ip, self.port))
            self.listener.listen(128)
            self.accepting = self.deployment.spawn(self.accept())

    async def accept(self):
        while True:
            connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
            reader, writer = await asyncio.open_connection(sock=connection)
            self.deployment.spawn(self.serve(reader, writer))

    def crash(self, back_after_s):
        if not has_trouble():
            super().crash(DOWN_S)
            return
        self.is_up = False
        self.running = 0
        self.accepting.cancel()
        # With its queue of connections full, the kernel drops further attempts to connect.
        self.listener.listen(0)
        fillers = []
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.ip, self.port))
            fillers.append(filler)
        silent = list(self.writers)

        async def come_back():
            await asyncio.sleep(DOWN_S)
            for held in [*fillers, self.listener]:
                held.close()
            for writer in silent:
                writer.transport.abort()
            await self.start()
        self.deployment.spawn(come_back())

    async def stay_silent(self, start):
        while has_trouble() and start == self.start_number:
            await asyncio.sleep(0.1)


class Crashes:
    """The request that crashes its servers: same path, caller and body each time, at any machine."""

    def __init__(self, deployment, backends, record):
        self.deployment, self.backends, self.record = deployment, backends, record
        self.number = 0

    async def send(self):
        """Sends it once. Returns the number of servers that it reached."""
        self.number += 1
        request = f"crash-{self.number}"
        entry = random.choice(self.deployment.entries)
        status, _, _ = await call(entry.front, "POST", CRASHING,
                                  {"Request-Id": request, "Deadline-Ms": str(DEADLINE_MS), "Credential": "key-a"},
                                  b"the same body", timeout=DEADLINE_MS / 1000 + 0.5)
        servers = [run_by for backend in self.backends for run_by, _, held, _, _ in backend.runs_by if held == request]
        self.record.write(f"{request} at {entry.name} is answered {status or 'not at all'}; "
                          f"it reached and crashed {', '.join(servers) or 'no server'}")
        return len(servers)


async def bystanders(deployment, counts):
    """Orders of another caller, 50 a second."""
    async def one(number):
        status, _, _ = await call(random.choice(deployment.entries).front, "POST", f"/post/{number}",
                                  {"Request-Id": f"other-{number}", "Deadline-Ms": "1000", "Credential": "key-b"},
                                  f"body {number}".encode(), timeout=1.5)
        counts[status] = counts.get(status, 0) + 1
    number = 0
    while True:
        number += 1
        deployment.spawn(one(number))
        await asyncio.sleep(0.02)


async def case(deployment, record):
    await deployment.start()
    backends = [SilentBackend(deployment, number, "stock", work_s=0.3) for number in range(16)]
    for backend in backends:
        backend.crashing = CRASHING
        await backend.start()
        deployment.spawn(backend.announce())
    routes = [("/post/", "unsafe", "stock", 2, 3000), ("/get/", "safe", "stock", 2, 3000)]
    workspaces = {"a": (["key-a"], 0, 0), "b": (["key-b"], 0, 0)}
    if await deployment.put_config(1, 0, workspaces, routes, ["stock"], for_s=10.0) != 200:
        return COULD_NOT_RUN
    if not await wait_until_served(deployment, "/get/0", "key-a"):
        record.write("could not run: the deployment does not serve")
        return COULD_NOT_RUN
    counts = {}
    deployment.spawn(bystanders(deployment, counts))
    crashes = Crashes(deployment, backends, record)
    crashed = 0
    for _ in range(10):
        crashed += await crashes.send()
        await asyncio.sleep(RETRY_PAUSE_S)
        if crashed >= 3:
            break
    if crashed < 3:
        record.write("could not run: the request crashed fewer than three servers")
        return COULD_NOT_RUN
    record.write("it has crashed the third server; the retries from SettleWindow later on are counted")
    await asyncio.sleep(SETTLE_S + 0.5)
    counts.clear()
    counted = 0
    for _ in range(RETRIES):
        counted += 1 if await crashes.send() else 0
        await asyncio.sleep(RETRY_PAUSE_S)
    record.write(f"answers to orders of another caller meanwhile, by status (0: none): {counts}")
    ends = [process.own_ends for process in deployment.controls + deployment.entries]
    record.write(f"processes of the system that ended meanwhile: {sum(ends)}")
    broken = counted > ALLOWED_RETRIES
    record.write(f"rule BUDGET {'is broken' if broken else 'held'}: {counted} of {RETRIES} retries reached servers, "
                 f"{ALLOWED_RETRIES} allowed")
    return BROKEN if broken else HELD


run_case(case, HERE / "record.txt")
