"""A deregistration is acknowledged, and the announcement that a frozen leader held back undoes it."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import CannotRun, DRAIN_S, Deployment, SETTLE_S, Target, is_trouble, play  # noqa: E402

FOLDER = os.path.dirname(os.path.abspath(__file__))
ZONES = {"north-a": "north", "north-b": "north", "south-a": "south"}
TARGETS = {"north-a": 4, "north-b": 6, "south-a": 6}
LEAVING = 3         # targets of north-a that leave
FREEZE_S = 4.0      # the site file freezes the leader for 4 s
SERVES_ON_S = 12.0  # time for which a leaving target goes on to serve after the acknowledgement
KEY = "key-of-w0"
CONFIG = {
    "Tenants": [{"Name": "w0", "ApiKeys": [KEY], "Priority": 1, "RatePerS": 500, "Burst": 500, "AllowedRegions": []}],
    "Listeners": [{"Host": "shop.example", "Rules": [
        {"Name": "post", "Kind": "unsafe", "Aim": "400ms", "Priority": 1, "AllowAnonymous": False, "Sticky": False,
         "Match": {"PathPrefix": "/post/"},
         "Action": {"Service": "orders", "Timeout": "1500ms", "MaxAttempts": 2, "AllowedRegions": []}}]}],
    "Clusters": [{"Name": "orders", "HealthCheckPath": "/healthz", "MaxConnections": 600, "Protocol": "h1",
                  "Tls": False, "Warmup": "0s", "WarmupPerS": 100.0}],
}


class DrainDeployment(Deployment):
    def __init__(self):
        super().__init__(FOLDER, ZONES, entries_a_zone=2)
        self.targets = [Target(self, "orders", zone, f"{self.net}.2.{number * 10 + index + 1}", run_s=0.1)
                        for number, zone in enumerate(ZONES) for index in range(TARGETS[zone])]
        self.acked, self.sent, self.touch_from, self.broken = {}, {}, 0.0, []

    def on_arrival(self, target, request, peer, path, fields):
        acked_at = self.acked.get(target.id)
        sent_at = self.sent.get(request, 0.0)
        if acked_at and sent_at > max(acked_at + DRAIN_S, self.touch_from):
            self.broken.append(request)
            self.note(f"{request}, sent {sent_at - acked_at:.1f} s after the acknowledgement, reaches {target.id} "
                      f"from {self.entry_of(peer)}")

    async def send_orders(self, seconds):
        """Each edge machine gets twenty orders a second."""
        async def send_order(entry):
            # The time of sending is known to the target's check before the request is.
            self.sent[f"q{self.requests + 1:06d}"] = time.monotonic()
            await self.send(entry, "POST", "/post/order", KEY, "net=trammel")
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            for entry in self.entries:
                self.spawn(send_order(entry))
                await asyncio.sleep(0)
            await asyncio.sleep(0.05)

    async def leave(self, target):
        """As the targets that never report draining: deregisters, goes on to serve, and exits."""
        self.acked[target.id] = await target.deregister()
        await asyncio.sleep(SERVES_ON_S)
        target.stop()


async def run_case(deployment):
    await deployment.start(CONFIG)
    await deployment.send_orders(2)
    await asyncio.sleep(3 * 1.5)  # heartbeats go on; there are no orders for a while
    leader = await deployment.find_leader()
    if leader.zone != "north-a":
        raise CannotRun(f"{leader.name} leads; this case needs the one of north-a")
    deployment.touch_from = time.monotonic() + SETTLE_S
    if is_trouble():
        leader.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.3)
    for target in deployment.targets[:LEAVING]:
        deployment.spawn(deployment.leave(target))
    await asyncio.sleep(FREEZE_S - 0.3)
    if is_trouble():
        leader.send_signal(signal.SIGCONT)
        deployment.touch_from = time.monotonic() + SETTLE_S
    await asyncio.sleep(SETTLE_S + 0.5)
    if len(deployment.acked) < LEAVING:
        raise CannotRun("the leaving targets got no acknowledgement")
    deployment.note("orders come again")
    await deployment.send_orders(2)
    await asyncio.sleep(2)
    deployment.note(f"{len(deployment.broken)} requests reached a leaving target later than Drain after the "
                    f"acknowledgement, from machines in touch (none is allowed)")
    return bool(deployment.broken)


play(DrainDeployment, run_case)
