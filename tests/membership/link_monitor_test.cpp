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
  monitor.NoteSent(kPeer, now);
  std::uint64_t probe = 0;
  for (int step = 0; step < 20; ++step, now += microseconds(100'000)) {
    const link_orders orders = monitor.Tick(now);
    CHECK(orders.mReopened.empty());
    for (const auto& sent : orders.mProbes) {
      probe = sent.mNumber;
      monitor.NoteReply(kPeer, probe, now);
    }
  }
  instant silentFrom = now;
  link_orders orders;
  while (orders.mReopened.empty() && now < silentFrom + std::chrono::seconds(10)) {
    now += microseconds(100'000);
    orders = monitor.Tick(now);
  }
  CHECK(now <= silentFrom + link_monitor::kSilenceLimit + link_monitor::kProbeInterval);
  LONGS_EQUAL(1, orders.mLost.size());
  // A reply that was on its way over the old connection does not make the new one count as alive.
  monitor.NoteReply(kPeer, probe, now);
  now += link_monitor::kSilenceLimit;
  LONGS_EQUAL(1, monitor.Tick(now).mReopened.size());
  CHECK(monitor.Tick(now).mLost.empty());
}

/** Guards against connections to replaced VMs that pile up. */
TEST(link_monitor, closes_a_connection_that_is_not_used)
{
  link_monitor monitor;
  instant now;
  monitor.NoteSent(kPeer, now);
  now += link_monitor::kUnusedLimit;
  LONGS_EQUAL(1, monitor.Tick(now).mUnused.size());
  CHECK(monitor.Tick(now).mProbes.empty());
}
