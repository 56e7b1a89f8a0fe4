#include "citronpulley/membership/link_monitor.h"

#include <CppUTest/TestHarness.h>

using namespace citronpulley;

namespace {

const vm_name kPeer("b");

} // namespace

TEST_GROUP(link_monitor){};

/** Guards against a connection that went silent for good and is used for ever. */
TEST(link_monitor, reopens_a_connection_whose_probes_get_no_reply)
{
  link_monitor monitor;
  instant now;
  monitor.RecordSent(kPeer, now);
  std::uint64_t probe = 0;
  for (int step = 0; step < 20; ++step, now += microseconds(100'000)) {
    const link_actions actions = monitor.Tick(now);
    CHECK(actions.mToReopen.empty());
    for (const auto& sent : actions.mProbes) {
      probe = sent.mNumber;
      monitor.RecordReply(kPeer, probe, now);
    }
  }
  instant silentFrom = now;
  link_actions actions;
  while (actions.mToReopen.empty() && now < silentFrom + std::chrono::seconds(10)) {
    now += microseconds(100'000);
    actions = monitor.Tick(now);
  }
  CHECK(now <= silentFrom + link_monitor::kContactTimeout + link_monitor::kProbeInterval);
  LONGS_EQUAL(1, actions.mLost.size());
  // A reply that was on its way over the old connection does not make the new one count as alive.
  monitor.RecordReply(kPeer, probe, now);
  now += link_monitor::kContactTimeout;
  LONGS_EQUAL(1, monitor.Tick(now).mToReopen.size());
  CHECK(monitor.Tick(now).mLost.empty());
}

/** Guards against connections to replaced VMs that pile up. */
TEST(link_monitor, closes_an_idle_connection)
{
  link_monitor monitor;
  instant now;
  monitor.RecordSent(kPeer, now);
  now += link_monitor::kIdleTimeout;
  LONGS_EQUAL(1, monitor.Tick(now).mToClose.size());
  CHECK(monitor.Tick(now).mProbes.empty());
}
