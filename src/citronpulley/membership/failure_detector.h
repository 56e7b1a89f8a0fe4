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

/** Message that the detector wants sent. */
struct detector_message
{
  vm_name mReceiver;
  std::variant<swim_ping, swim_ping_request, swim_ack> mMessage;

  friend auto operator<=>(const detector_message&, const detector_message&) = default;
};

/**
 * Tells which VMs of a group live, by the SWIM protocol: each member probes one other member at a
 * time, asks others to probe it too when it does not answer, and spreads what it learns with its
 * probes. The cost per member does not grow with the group. Pure: time and messages come in,
 * messages go out.
 */
class failure_detector
{
public:
  static constexpr microseconds kProbeInterval{ 300'000 };
  /** Time after which members are asked to probe a target that has not answered. */
  static constexpr microseconds kDirectProbeTimeout{ 100'000 };
  static constexpr std::size_t kIndirectProbes = 3;
  /** Time in which a suspect can refute the suspicion. */
  static constexpr microseconds kSuspicionTimeout{ 3'000'000 };
  /** Time in which a member whose connection closed can answer. */
  static constexpr microseconds kDisconnectedTimeout{ 1'000'000 };
  /**
   * Interval at which the member that raised a suspicion probes the suspect. With 1.5 s and no such
   * probes 20% loss led to false deaths, since the suspect seldom heard of the suspicion in time.
   */
  static constexpr microseconds kSuspectProbeInterval{ 150'000 };
  /** Most updates that one message carries. */
  static constexpr std::size_t kMaxUpdates = 8;

  /**
   * @param aSelf this VM
   * @param aIncarnation number of this run
   * @param aSeed seed of the order of probes
   */
  failure_detector(vm_name aSelf, incarnation aIncarnation, std::uint64_t aSeed);

  /**
   * Sets the members of the group. New members count as alive until a probe fails; members that are
   * no longer named are forgotten.
   */
  void SetMembers(const std::vector<vm_name>& aMembers);

  /** Takes a message of another member. */
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
   * Notes that the connection of a member closed. It is probed at once and often, and counts as
   * dead after `kDisconnectedTimeout` without an answer; so a connection that only broke makes no
   * false death.
   */
  void MarkDisconnected(const vm_name& aMember, instant aNow);

  /** Sends what is due. */
  void Tick(instant aNow, std::vector<detector_message>& aMessages);

  /** @return true for this VM and for members that are alive or only suspected */
  bool IsAlive(const vm_name& aMember) const noexcept;

private:
  struct member_state
  {
    incarnation mIncarnation = 0;
    std::uint32_t mRefutation = 0;
    member_condition mCondition = member_condition::Alive;
    instant mDeadAt;
    /** Raised here: only the member that raised a suspicion turns it into a death. */
    bool mIsOwnSuspicion = false;
    instant mNextSuspectProbeAt;
    /** Messages that still carry the news about the member. */
    std::uint32_t mTransmissionsLeft = 0;
  };

  /** Probe that was asked for by another member. */
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
