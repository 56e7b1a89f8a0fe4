#ifndef CITRONPULLEY_CONSENSUS_GROUP_MEMBERSHIP_H
#define CITRONPULLEY_CONSENSUS_GROUP_MEMBERSHIP_H

#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/result.h"
#include "citronpulley/wire/consensus_messages.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/** Group member and the VM on which it runs. */
struct group_member
{
  member_id mMember;
  vm_name mVm;
  /** A learner receives log entries but has no vote and counts towards no quorum. */
  bool mIsLearner = false;
  /** Index of the entry that admitted the member. */
  log_index mAdmittedAt = 0;

  friend auto operator<=>(const group_member&, const group_member&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mMember, mVm, mIsLearner, mAdmittedAt);
  }
};

/** Members of the group; the payload of a membership entry in the log. */
struct group_membership
{
  /** Random identity of the group; 0 if the member belongs to no group yet. */
  std::uint64_t mGroup = 0;
  std::vector<group_member> mMembers;

  friend auto operator<=>(const group_membership&, const group_membership&) = default;

  /** @return the member, or null */
  const group_member* Find(member_id aMember) const noexcept;

  /** @return the voter that runs on a VM, or null */
  const group_member* FindVoterOn(const vm_name& aVm) const noexcept;

  /** @return true if the group has this member and it is not a learner */
  bool IsVoter(member_id aMember) const noexcept;

  std::size_t CountVoters() const noexcept;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mGroup, mMembers);
  }
};

/** @return the encoded membership */
std::string EncodeMembership(const group_membership& aMembership);

/** @return the membership, or `bad_message` */
result<group_membership> DecodeMembership(std::string_view aBytes);

/**
 * Makes the log entry that bootstraps a new group with one voter.
 *
 * @param aGroup random identity of the group; not 0
 * @param aMember the only voter
 * @param aVm VM of the voter
 */
log_entry MakeBootstrapEntry(std::uint64_t aGroup, member_id aMember, const vm_name& aVm);

} // namespace citronpulley

#endif
