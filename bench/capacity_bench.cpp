/**
 * @file
 * Measures the growth rates that docs/CAPACITY.md uses and prints one JSON object per line:
 * - time and bytes of a poll by number of entry VMs
 * - time and bytes of a state delta by number of missed changes
 * - time to apply a claim and snapshot size by number of claims
 * - messages, bytes and processor time of the failure detector by number of members
 */

#include "citronpulley/membership/failure_detector.h"
#include "citronpulley/membership/fleet_table.h"
#include "citronpulley/state/control_state.h"
#include "citronpulley/state/state_view.h"
#include "citronpulley/wire/peer_message.h"

#include <boost/json.hpp>

#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <memory>

using namespace citronpulley;

namespace {

constexpr int kZones = 22;
constexpr int kServices = 6;

/** @return mean wall-clock time of one call of `aOperation` in microseconds */
double MeasureMicroseconds(int aRepetitions, auto&& aOperation)
{
  const auto startedAt = std::chrono::steady_clock::now();
  for (int repetition = 0; repetition < aRepetitions; ++repetition) {
    aOperation();
  }
  const std::chrono::duration<double, std::micro> elapsed =
    std::chrono::steady_clock::now() - startedAt;
  return elapsed.count() / aRepetitions;
}

void PrintRow(const boost::json::object& aRow)
{
  std::cout << boost::json::serialize(aRow) << "\n";
}

poll MakePoll(int aNumber)
{
  poll message;
  vm_record& vm = message.mSender;
  vm.mZone = zone_name("zone-" + std::to_string(aNumber % kZones));
  vm.mRegion = region_name("region-" + std::to_string(aNumber % kZones / 3));
  vm.mVm = vm_name(vm.mZone.mValue + "-" + std::to_string(aNumber));
  vm.mAddress = "10.0." + std::to_string(aNumber / 256) + "." + std::to_string(aNumber % 256);
  for (int service = 0; service < kServices; ++service) {
    message.mServerSummaries.push_back(
      { vm.mZone, service_name("service-" + std::to_string(service)), 1, 6, 3 });
  }
  return message;
}

/**
 * Measures the handling of a poll, including encoding of the reply. The first reply contains the
 * list of live entry VMs; a steady reply omits it because the poll carries the digest of the list.
 * The timed replies always contain the list.
 */
void MeasurePolls(int aVms)
{
  fleet_table table;
  const instant now;
  for (int number = 0; number < aVms; ++number) {
    table.UpdateFromPoll(MakePoll(number), now);
  }
  poll_reply firstReply;
  firstReply.mLiveVms = table.ListVmsFor(MakePoll(0).mSender, now);
  firstReply.mZones = table.SummariseZones(now);
  poll_reply steadyReply = firstReply;
  steadyReply.mLiveVms.clear();
  int number = 0;
  const double answerUs = MeasureMicroseconds(50, [&] {
    const poll message = MakePoll(number++ % aVms);
    table.UpdateFromPoll(message, now);
    poll_reply reply;
    reply.mLiveVms = table.ListVmsFor(message.mSender, now);
    const bool isKnown = ComputeDigest(reply.mLiveVms) == message.mVmListDigest;
    reply.mZones = table.SummariseZones(now);
    EncodeMessage(reply);
    return isKnown;
  });
  PrintRow({ { "measure", "poll" },
             { "entry_vms", aVms },
             { "poll_bytes", EncodeMessage(MakePoll(0)).size() },
             { "first_reply_bytes", EncodeMessage(firstReply).size() },
             { "steady_reply_bytes", EncodeMessage(steadyReply).size() },
             { "answer_us", answerUs } });
}

/** Measures a delta for a receiver that knows 20,000 changes and has missed `aMissed` more. */
void MeasureDeltas(int aMissed)
{
  control_state state;
  state_index index = 0;
  const auto giveKey = [&](int aNumber) {
    give_key change;
    change.mKey = key_id("key-" + std::to_string(aNumber));
    change.mWorkspace = workspace_name("workspace-" + std::to_string(aNumber % 8));
    state.Apply(++index, { 0, change });
  };
  for (int number = 0; number < 20'000; ++number) {
    giveKey(number);
  }
  const state_index lastKnownIndex = index;
  for (int number = 0; number < aMissed; ++number) {
    giveKey(20'000 + number);
  }
  const std::string bytes = EncodeDelta(state.MakeDelta(lastKnownIndex));
  const double encodeUs =
    MeasureMicroseconds(20, [&] { EncodeDelta(state.MakeDelta(lastKnownIndex)); });
  PrintRow({ { "measure", "delta" },
             { "missed_changes", aMissed },
             { "bytes", bytes.size() },
             { "encode_us", encodeUs } });
}

/** Measures the application of claims with distinct idempotency keys and the resulting snapshot. */
void MeasureClaims(int aClaims)
{
  control_state state;
  constexpr std::int64_t kNow = 1'700'000'000'000;
  claim_request request;
  request.mKey.mWorkspace = workspace_name("workspace");
  char idempotencyKey[40];
  const double applyUs = MeasureMicroseconds(aClaims, [&, number = 0]() mutable {
    std::snprintf(idempotencyKey,
                  sizeof idempotencyKey,
                  "%08llx-%04llx-7000-8000-%012d",
                  static_cast<unsigned long long>(kNow >> 16),
                  static_cast<unsigned long long>(kNow & 0xffff),
                  ++number);
    request.mKey.mIdempotencyKey = idempotencyKey;
    state.Apply(state.GetIndex() + 1, { kNow, request });
  });
  std::string bytes;
  const double encodeUs = MeasureMicroseconds(1, [&] { bytes = state.Encode(); });
  PrintRow({ { "measure", "claims" },
             { "claims", aClaims },
             { "apply_us", applyUs },
             { "snapshot_bytes", bytes.size() },
             { "snapshot_us", encodeUs } });
}

/**
 * Measures failure detectors that exchange messages in virtual time, each delivered at the next
 * step. The processor time includes the encoding of all messages; it is the elapsed time of this
 * thread.
 */
void MeasureDetector(int aMembers)
{
  std::vector<vm_name> names;
  names.reserve(static_cast<std::size_t>(aMembers));
  for (int number = 0; number < aMembers; ++number) {
    names.emplace_back("vm-" + std::to_string(number));
  }
  std::map<vm_name, std::unique_ptr<failure_detector>> detectors;
  for (const vm_name& name : names) {
    detectors.emplace(name, std::make_unique<failure_detector>(name, 1, detectors.size()));
    detectors.at(name)->SetMembers(names);
  }
  constexpr int kSeconds = 6;
  constexpr microseconds kStep{ 20'000 };
  std::size_t sent = 0;
  std::size_t bytes = 0;
  std::deque<std::pair<vm_name, detector_message>> queue;
  const auto enqueue = [&](const vm_name& aSender, const std::vector<detector_message>& aMessages) {
    for (const detector_message& message : aMessages) {
      ++sent;
      std::visit([&](const auto& aContent) { bytes += EncodeMessage(aContent).size(); },
                 message.mMessage);
      queue.emplace_back(aSender, message);
    }
  };
  instant now;
  const double elapsedUs = MeasureMicroseconds(1, [&] {
    for (const instant end = now + std::chrono::seconds(kSeconds); now < end; now += kStep) {
      std::deque<std::pair<vm_name, detector_message>> delivered;
      delivered.swap(queue);
      for (const auto& [sender, message] : delivered) {
        failure_detector& receiver = *detectors.at(message.mReceiver);
        std::vector<detector_message> replies;
        if (const auto* ping = std::get_if<swim_ping>(&message.mMessage)) {
          receiver.Receive(sender, *ping, replies);
        } else if (const auto* ack = std::get_if<swim_ack>(&message.mMessage)) {
          receiver.Receive(sender, *ack, replies);
        }
        enqueue(message.mReceiver, replies);
      }
      for (auto& [name, detector] : detectors) {
        std::vector<detector_message> messages;
        detector->Tick(now, messages);
        enqueue(name, messages);
      }
    }
  });
  const double memberSeconds = static_cast<double>(aMembers) * kSeconds;
  PrintRow({ { "measure", "detector" },
             { "members", aMembers },
             { "messages_per_member_second", static_cast<double>(sent) / memberSeconds },
             { "bytes_per_member_second", static_cast<double>(bytes) / memberSeconds },
             { "cpu_us_per_member_second", elapsedUs / memberSeconds } });
}

} // namespace

int main()
{
  for (const int vms : { 24, 100, 400, 1'000, 2'600 }) {
    MeasurePolls(vms);
  }
  for (const int missed : { 1, 100, 1'000, 10'000 }) {
    MeasureDeltas(missed);
  }
  for (const int claims : { 1'000, 10'000, 100'000, 400'000 }) {
    MeasureClaims(claims);
  }
  for (const int members : { 24, 100, 400, 800 }) {
    MeasureDetector(members);
  }
  return 0;
}
