"""After a final fault a former leader leads again and grants no workspace anything, for as long as it was away."""
import asyncio
import collections
import os
import shutil
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import CannotRun, Deployment, HOST, Target, is_trouble, play  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
FREEZE_S = 2.0         # the site file freezes the leader for 4 s
CATCH_UP_S = 4.2       # CatchUp is 4 s: one machine is lost at a time
LAST_FREEZE_S = 50.0   # no leader is frozen later than this
CALM_S = 26.0          # between the last change of the leader and the final fault
RECOVERY_S = 15.0      # Recovery
JUDGED_S = 6.0
ORDERS_PER_S = 20      # of each tenant at each edge machine: 60 a second, of a rate of 100
TENANTS = {"w0": "key-of-w0", "w1": "key-of-w1"}
CONFIG = {
    "Tenants": [{"Name": name, "ApiKeys": [key], "Priority": 1, "RatePerS": 100, "Burst": 100, "AllowedRegions": []}
                for name, key in TENANTS.items()],
    "Listeners": [{"Host": HOST, "Rules": [
        {"Name": "get", "Kind": "safe", "Aim": "400ms", "Priority": 1, "AllowAnonymous": False, "Sticky": False,
         "Match": {"PathPrefix": "/get/"},
         "Action": {"Service": "stock", "Timeout": "1500ms", "MaxAttempts": 2, "AllowedRegions": []}}]}],
    "Clusters": [{"Name": "stock", "HealthCheckPath": "/healthz", "MaxConnections": 600, "Protocol": "h1",
                  "Tls": False, "Warmup": "0s", "WarmupPerS": 100.0}],
}


class RecoverDeployment(Deployment):
    def __init__(self):
        super().__init__(FOLDER, ZONES, entries_a_zone=1)
        self.targets = [Target(self, "stock", zone, f"{self.net}.2.{number * 10 + index + 1}", slots=20, run_s=0.02)
                        for number, zone in enumerate(ZONES) for index in range(2)]
        self.answers = []   # (sent at, status)

    async def look_up_again_and_again(self, entry, key):
        async def look_up():
            sent_at = time.monotonic()
            _, status = await self.send(entry, "GET", "/get/stock", key)
            self.answers.append((sent_at, status))
        while True:
            self.spawn(look_up())
            await asyncio.sleep(1 / ORDERS_PER_S)

    def count(self, begin, end):
        """Statuses of the requests sent in a span."""
        return collections.Counter(status for sent_at, status in self.answers if begin <= sent_at < end)

    async def freeze(self, process):
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        process.send_signal(signal.SIGCONT)

    async def lose_disk(self, process):
        """The machine comes back at its old address, with an empty data folder and `Bootstrap` false."""
        process.send_signal(signal.SIGKILL)
        await process.handle.wait()
        shutil.rmtree(f"{self.folder}/{process.name}.data")
        self.note(f"{process.name} has lost its disk")
        await asyncio.sleep(0.8)
        await process.start()


async def run_case(deployment):
    await deployment.start(CONFIG)
    for entry in deployment.entries:
        for key in TENANTS.values():
            deployment.spawn(deployment.look_up_again_and_again(entry, key))
    await asyncio.sleep(2)
    leader = await deployment.find_leader()
    lost_lead_at = {}
    deployment.note(f"{leader.name} leads")
    while is_trouble() and len(lost_lead_at) + 1 < len(deployment.controls) and deployment.now() < LAST_FREEZE_S:
        lost_lead_at[leader.name] = frozen_at = time.monotonic()
        await deployment.freeze(leader)
        await asyncio.sleep(CATCH_UP_S)
        leader = await deployment.find_leader()
        deployment.note(f"{leader.name} leads")
        away_since = lost_lead_at.pop(leader.name, None)
        if away_since:
            # It leads again: let it stay until it grants as before.
            await asyncio.sleep(max(0, 2 * frozen_at - away_since + 4 - time.monotonic()))
    await asyncio.sleep(CALM_S)
    fault_at = time.monotonic()
    await deployment.put(CONFIG)
    leader = await deployment.find_leader()
    before = deployment.count(fault_at - 10, fault_at)
    deployment.note(f"answers in the last 10 s before the final fault: {dict(before)}")
    if is_trouble():
        await deployment.lose_disk(leader)
    back_at = time.monotonic()
    await asyncio.sleep(RECOVERY_S)
    deployment.note(f"{(await deployment.find_leader()).name} leads")
    await asyncio.sleep(JUDGED_S + 1)
    after = deployment.count(back_at + RECOVERY_S, back_at + RECOVERY_S + JUDGED_S)
    deployment.note(f"answers to what was sent later than Recovery after all machines are back: {dict(after)}")
    if not before[200] * 4 >= before.total():
        raise CannotRun("less than a quarter was served before the final fault")
    return after[200] * 4 < after.total()


play(RecoverDeployment, run_case)
