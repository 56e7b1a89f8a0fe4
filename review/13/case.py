"""A look-up crashes each backend server that runs it. The whole system is restarted in turn while it is quarantined.

With TROUBLE=0 nothing is restarted.
"""
import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
import standins_3 as s  # noqa: E402

SETTLE_S = 3.0           # SettleWindow
DEADLINE_MS = 1200       # of stock-lookup on the vera-redes site, like the work
RETRIES = 3              # of a client within its deadline, after failures that are no refusals
WORK_S = 0.24
DOWN_S = 4.0             # a crashed server is back after some seconds
CRASH_AFTER_S = 0.05
MAX_RETRIES = 3          # retries that may reach servers later than SettleWindow after the third crash
ROLL_GAP_S = 1.3         # between two machines of a rolling restart
POISON = "/stock/poison"


class Server(s.Backend):
    """Crashes when it runs the poison: all its connections end, and it comes back as another start."""

    crashes = []             # times of all crashes
    arrivals = []            # (time, request id) of each arrival of the poison

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.writers = set()
        self.starts = 0

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    async def answer(self, line, fields, body, writer):
        if POISON in line and fields.get("expect-instance") == self.id:
            Server.arrivals.append((time.monotonic(), fields.get("request-id", "")))
        await super().answer(line, fields, body, writer)

    async def run(self, line, fields, body, writer):
        if POISON in line:
            self.deployment.record_run(self, line, fields)
            self.deployment.spawn(self.crash())
            await asyncio.sleep(60)
        await super().run(line, fields, body, writer)

    async def crash(self):
        await asyncio.sleep(CRASH_AFTER_S)
        if not self.is_announcing:
            return
        Server.crashes.append(time.monotonic())
        self.deployment.record.write(f"{self.id} crashes")
        self.is_announcing = False
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(DOWN_S)
        self.starts += 1
        self.id = f"i-{self.service}-{self.number}-{self.starts}"
        self.born_ms, self.sequence, self.running = int(time.time() * 1000), 0, 0
        self.slots = asyncio.Semaphore(self.slot_count)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.is_announcing = True
        self.deployment.record.write(f"{self.id} is back at the same address")


async def attempt(entry, path, request, record):
    """One attempt of a client on a new connection. Returns the status, or 0 for no answer."""
    writer, status = None, 0
    try:
        reader, writer = await asyncio.open_connection(*entry.caller_address)
        writer.write(s.encode_request("GET", path, request, DEADLINE_MS))
        async with asyncio.timeout(DEADLINE_MS / 1000):
            status, _, _ = await s.read_response(reader)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        pass
    finally:
        if writer:
            writer.close()
    if path == POISON:
        record.write(f"{request} to {entry.name}: answer {status or 'none'}")
    return status


async def send_poison(deployment, number, record):
    """A client sends the poison, and again at the next entry VM after a failure. Returns the last status."""
    entries, status = deployment.entries, 0
    for retry in range(1 + RETRIES):
        entry = entries[(number + retry) % len(entries)]
        status = await attempt(entry, POISON, f"poison-{number}-{retry}", record)
        if status in s.NOT_RUN:
            break
    return status


async def look_up(deployment, number, record, counts):
    while True:
        entry = deployment.entries[number % len(deployment.entries)]
        number += 1
        status = await attempt(entry, f"/stock/{number}", f"look-{number}", record)
        counts[status] = counts.get(status, 0) + 1
        await asyncio.sleep(0.05)


async def roll(deployment, record):
    """Stops and starts all machines in turn."""
    for process in deployment.entries + deployment.controls:
        process.is_wanted = False
        record.write(f"SIGTERM to {process.name}")
        process.send_signal(signal.SIGTERM)
        await process.handle.wait()
        await asyncio.sleep(s.RESTART_DELAY_S)
        await process.start()
        record.write(f"{process.name} started again")
        await asyncio.sleep(ROLL_GAP_S)


async def case(record):
    deployment = s.Deployment(record, entry_zones=("manta-a", "manta-b", "quito-a"))
    counts = {}
    try:
        config = s.make_config([("r-stock", "safe", "/stock/", "catalogo", DEADLINE_MS, 2, True)], ["catalogo"])
        zones = list(s.ZONES)
        servers = [Server(deployment, i, "catalogo", zones[i % len(zones)], WORK_S) for i in range(12)]
        await deployment.start(config, servers)
        for number in range(3):
            deployment.spawn(look_up(deployment, number * 100_000, record, counts))
        await asyncio.sleep(2.0)
        number, refused = 0, 0
        while refused < 3 and number < 15:
            status = await send_poison(deployment, number, record)
            refused = refused + 1 if status in s.NOT_RUN else 0
            number += 1
            await asyncio.sleep(1.0)
        if refused < 3 or len(Server.crashes) < 3:
            raise s.CannotRun("the poison was not quarantined at first")
        third_at = Server.crashes[2]
        record.write(f"third crash {time.monotonic() - third_at:.1f} s ago; the poison is refused everywhere")
        await asyncio.sleep(DOWN_S + 3)
        if s.trouble():
            await roll(deployment, record)
        else:
            await asyncio.sleep(25)
        await asyncio.sleep(SETTLE_S + 1.5)   # all machines are in touch, and know the servers
        begun = time.monotonic()
        record.write("the client sends the poison again; all machines are in touch")
        for _ in range(6):
            await send_poison(deployment, number, record)
            number += 1
            await asyncio.sleep(1.0)
        late = [(at, request) for at, request in Server.arrivals if at > max(begun, third_at + SETTLE_S)]
        record.write(f"look-ups answered by status: {counts}")
        record.write(f"crashes: {len(Server.crashes)}; arrivals of the poison later than {SETTLE_S} s after the "
                     f"third crash: {len(late)}, at most {MAX_RETRIES} allowed: {[r for _, r in late]}")
        record.write(f"attempts of the client that reached servers then: {len({r for _, r in late})}")
        return s.BROKEN if len(late) > MAX_RETRIES else s.HELD
    finally:
        await deployment.stop()


s.main(pathlib.Path(__file__).resolve().parent, case)
