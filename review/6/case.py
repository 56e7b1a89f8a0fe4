"""A heartbeat of another writer whose bytes can't be read; see claim.txt."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from standins_2 import (Backend, BROKEN, COULD_NOT_RUN, HEARTBEAT_S, HELD, call, has_trouble, run_case,  # noqa: E402
                        wait_until_served)

TROUBLE_S = 20.0
OWN_ENDS = 3        # the rule: ends by themselves of one process
# The heartbeat's own fields can be read. What follows its body cannot: one field of 70,000 bytes after the last chunk.
BODY = b'{"Service":"stock","Address":"","Zone":7}'
HEARTBEAT = (b"POST /-/instances/i-other/heartbeat HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
             b"Transfer-Encoding: chunked\r\n\r\n"
             + f"{len(BODY):x}\r\n".encode() + BODY + b"\r\n0\r\nX-Sum: " + b"\xfe" * 70000 + b"\r\n\r\n")


async def other_writer(deployment, record):
    """Sends a heartbeat every 1.5 s. As the page says, it calls the next daemon when it gets no acknowledgement."""
    number = 0
    while True:
        for _ in deployment.controls:
            control = deployment.controls[number % len(deployment.controls)]
            status, _, _ = await call(control.control, "POST", "", raw=HEARTBEAT)
            record.write(f"the other writer's heartbeat to {control.name} is answered {status or 'not at all'}")
            if 200 <= status < 300:
                break
            number += 1
        await asyncio.sleep(HEARTBEAT_S)


async def caller(deployment, outcomes):
    while True:
        entry = random.choice(deployment.entries)
        status, _, _ = await call(entry.front, "GET", "/stock/1",
                                  {"Request-Id": f"q-{random.getrandbits(48):x}", "Deadline-Ms": "1000",
                                   "Credential": "key-a"})
        outcomes[status] = outcomes.get(status, 0) + 1
        await asyncio.sleep(0.05)


async def case(deployment, record):
    await deployment.start()
    backends = [Backend(deployment, number, "stock") for number in range(4)]
    for backend in backends:
        await backend.start()
        deployment.spawn(backend.announce())
    routes = [("/stock/", "safe", "stock", 2, 1000)]
    if await deployment.put_config(1, 0, {"a": (["key-a"], 0, 0)}, routes, ["stock"], for_s=10.0) != 200:
        return COULD_NOT_RUN
    if not await wait_until_served(deployment, "/stock/0", "key-a"):
        record.write("could not run: the deployment does not serve")
        return COULD_NOT_RUN
    before, during = {}, {}
    calling = deployment.spawn(caller(deployment, before))
    await asyncio.sleep(3.0)
    calling.cancel()
    record.write(f"answers in 3 s before, by status (0: none): {before}")
    if has_trouble():
        deployment.spawn(other_writer(deployment, record))
    calling = deployment.spawn(caller(deployment, during))
    await asyncio.sleep(TROUBLE_S / 2)
    status = await deployment.put_config(2, 1, {"a": (["key-a"], 0, 0), "b": (["key-b"], 0, 0)}, routes, ["stock"])
    await asyncio.sleep(TROUBLE_S / 2)
    calling.cancel()
    record.write(f"answers in the {TROUBLE_S:.0f} s after, by status (0: none): {during}; "
                 f"the configuration sent meanwhile was answered {status}")
    ends = [process.own_ends for process in deployment.controls]
    record.write(f"control processes that ended by themselves: {ends}")
    broken = sum(count >= OWN_ENDS for count in ends) * 2 >= len(ends)
    record.write("rule Fault: on half of the core or more, processes ended by themselves three times or more"
                 if broken else "rule Fault held")
    return BROKEN if broken else HELD


run_case(case, HERE / "record.txt")
