#ifndef CITRONPULLEY_MEMBERSHIP_FAILURE_DETECTOR_H
#define CITRONPULLEY_MEMBERSHIP_FAILURE_DETECTOR_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/instant.h"
#include "citronpulley/wire/membership_messages.h"

#include <cstdint>
#include <map>
#include <random>
#include <variant>
#include <vector>

namespace citronpulley {

/** Outgoing message of the detector; the caller sends it to the receiver. */
struct detector_message
{
  vm_name mReceiver;
  std::variant<swim_ping, swim_ping_request, swim_ack> mMessage;

  friend auto operator<=>(const detector_message&, const detector_message&) = default;
};

/**
 * Failure detector for a group of VMs by the SWIM protocol. Each member probes one other member at
 * a time, requests indirect probes through further members when the target does not answer, and
 * piggybacks membership updates on these messages. The message rate per member does not grow with
 * the group. The class does no I/O and reads no clock: time and received messages are passed in,
 * and messages to send are returned.
 */
class failure_detector
{
public:
  static constexpr microseconds kProbeInterval{ 300'000 };
  /** Time without an answer after which other members are asked to probe the target. */
  static constexpr microseconds kDirectProbeTimeout{ 100'000 };
  static constexpr std::size_t kIndirectProbes = 3;
  /** Time that a suspected member has to refute the suspicion before it counts as dead. */
  static constexpr microseconds kSuspicionTimeout{ 3'000'000 };
  /** Time that a member whose connection closed has to answer before it counts as dead. */
  static constexpr microseconds kDisconnectedTimeout{ 1'000'000 };
  /**
   * Interval at which the member that raised a suspicion probes the suspect. Without these probes,
   * and with a suspicion time of 1.5 s, 20% message loss led to false deaths, because suspects
   * seldom learned of the suspicion in time to refute it.
   */
  static constexpr microseconds kSuspectProbeInterval{ 150'000 };
  /** Maximum number of membership updates in one message. */
  static constexpr std::size_t kMaxUpdates = 8;

  /**
   * @param aSelf this VM
   * @param aIncarnation incarnation number of this run of the process
   * @param aSeed seed of the random probe order and of the choice of indirect probers
   */
  failure_detector(vm_name aSelf, incarnation aIncarnation, std::uint64_t aSeed);

  /**
   * Replaces the list of group members. New members count as alive until a probe fails, and members
   * that are not in the list are removed.
   */
  void SetMembers(const std::vector<vm_name>& aMembers);

  /**
   * Handles a message of another member: applies its membership updates and appends the replies to
   * send.
   */
  void Receive(const vm_name& aSender,
               const swim_ping& aPing,
               std::vector<detector_message>& aMessages);
  void Receive(const vm_name& aSender,
               const swim_ping_request& aRequest,
               instant aNow,
               std::vector<detector_message>& aMessages);
  void Receive(const vm_name& aSender,
               const swim_ack& aAck,
               std::vector<detector_message>& aMessages);

  /**
   * Suspects a member whose connection closed. It is probed at once and then every
   * `kSuspectProbeInterval`, and counts as dead only after `kDisconnectedTimeout` without an
   * answer. A broken connection to a live member therefore causes no false death.
   */
  void MarkDisconnected(const vm_name& aMember, instant aNow);

  /**
   * Applies expired timeouts and appends the probes that are due. Call it at an interval well below
   * `kDirectProbeTimeout`.
   */
  void Tick(instant aNow, std::vector<detector_message>& aMessages);

  /** @return true for this VM and for members that are alive or suspected but not yet dead; false
   * for VMs that are not members */
  bool IsAlive(const vm_name& aMember) const noexcept;

private:
  struct member_state
  {
    incarnation mIncarnation = 0;
    std::uint32_t mRefutation = 0;
    member_condition mCondition = member_condition::Alive;
    instant mDeadAt;
    /** This VM raised the suspicion. Only the member that raised it may declare the death. */
    bool mIsOwnSuspicion = false;
    instant mNextSuspectProbeAt;
    /** Number of further messages that carry the latest update about the member. */
    std::uint32_t mTransmissionsLeft = 0;
  };

  /** Indirect probe that this VM sends on request of another member. */
  struct relayed_probe
  {
    vm_name mRequester;
    std::uint64_t mRequesterProbe = 0;
    vm_name mTarget;
    instant mExpiresAt;
  };

  void Apply(const std::vector<member_update>& aUpdates);
  void SetCondition(member_state& aMember, member_condition aCondition);
  void Suspect(member_state& aMember, instant aNow, microseconds aTimeout);
  void ProbeSuspects(instant aNow, std::vector<detector_message>& aMessages);
  std::vector<member_update> CollectUpdates(const vm_name& aReceiver);
  void StartProbe(instant aNow, std::vector<detector_message>& aMessages);
  void RequestIndirectPings(std::vector<detector_message>& aMessages);
  std::uint32_t ComputeTransmissionCount() const noexcept;

  vm_name mSelf;
  incarnation mIncarnation;
  std::uint32_t mRefutation = 0;
  std::mt19937_64 mRandom;
  std::map<vm_name, member_state> mMembers;
  std::vector<vm_name> mProbeOrder;
  std::size_t mNextInProbeOrder = 0;
  std::uint64_t mLastProbe = 0;
  vm_name mTarget;
  std::uint64_t mTargetProbe = 0;
  bool mIsAnswered = true;
  bool mHasRequestedIndirectPings = false;
  instant mProbedAt;
  instant mNextProbeAt;
  std::map<std::uint64_t, relayed_probe> mRelayed;
};

} // namespace citronpulley

#endif
