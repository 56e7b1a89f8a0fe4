#include "citronpulley/consensus/group_membership.h"

#include "citronpulley/wire/codec.h"

#include <algorithm>

namespace citronpulley {

const group_member* group_membership::Find(member_id aMember) const noexcept
{
  const auto found = std::ranges::find(mMembers, aMember, &group_member::mMember);
  return found == mMembers.end() ? nullptr : &*found;
}

const group_member* group_membership::FindVoterOn(const vm_name& aVm) const noexcept
{
  const auto found = std::ranges::find_if(mMembers, [&aVm](const group_member& aMember) {
    return aMember.mVm == aVm && !aMember.mIsLearner;
  });
  return found == mMembers.end() ? nullptr : &*found;
}

bool group_membership::IsVoter(member_id aMember) const noexcept
{
  const group_member* member = Find(aMember);
  return member != nullptr && !member->mIsLearner;
}

std::size_t group_membership::CountVoters() const noexcept
{
  return static_cast<std::size_t>(std::ranges::count(mMembers, false, &group_member::mIsLearner));
}

std::string EncodeMembership(const group_membership& aMembership)
{
  return EncodeValue(aMembership);
}

result<group_membership> DecodeMembership(std::string_view aBytes)
{
  return DecodeValue<group_membership>(aBytes);
}

log_entry MakeBootstrapEntry(std::uint64_t aGroup, member_id aMember, const vm_name& aVm)
{
  const group_membership membership{ aGroup, { { aMember, aVm, false, 1 } } };
  return { 1, 1, EncodeMembership(membership), true };
}

} // namespace citronpulley
