#include "citronpulley/limits/rate_ledger.h"

#include "citronpulley/limits/token_unit.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace citronpulley {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;

} // namespace

rate_ledger::rate_ledger(double aRate, double aBurst, instant aBlockedUntil) noexcept
  : mRate(aRate)
  , mBurst(aBurst)
  , mOutstanding(aBurst)
  , mRefilledAt(aBlockedUntil)
  , mBlockedUntil(aBlockedUntil)
{
  assert(aRate > 0 && aBurst > 0);
}

double rate_ledger::Grant(grant_number aGrant, double aWanted, instant aExpiresAt, instant aNow)
{
  assert(aWanted > 0 && !mGrants.contains(aGrant));
  Advance(aNow);
  const double tokens = RoundTokensDown(std::min(aWanted, mLevel));
  if (tokens <= 0) {
    return 0;
  }
  mLevel -= tokens;
  mOutstanding += tokens;
  mGrants.emplace(aGrant, granted_tokens{ tokens, aExpiresAt });
  mByExpiry.emplace(aExpiresAt, aGrant);
  return tokens;
}

void rate_ledger::ReduceGrant(grant_number aGrant, double aUnspent, instant aNow)
{
  Advance(aNow);
  const auto found = mGrants.find(aGrant);
  if (found == mGrants.end() || !std::isfinite(aUnspent)) {
    return;
  }
  double& tokens = found->second.mTokens;
  const double unspent = std::clamp(aUnspent, 0.0, tokens);
  mOutstanding = std::max(0.0, mOutstanding - (tokens - unspent));
  tokens = unspent;
}

void rate_ledger::ReturnGrant(grant_number aGrant, double aUnspent, instant aNow)
{
  Advance(aNow);
  const auto found = mGrants.find(aGrant);
  if (found == mGrants.end() || !std::isfinite(aUnspent)) {
    return;
  }
  const double unspent = std::clamp(aUnspent, 0.0, found->second.mTokens);
  RemoveGrant(aGrant);
  mLevel = std::max(mLevel, std::min(mLevel + unspent, mBurst - mOutstanding));
}

void rate_ledger::SetLimit(double aRate, double aBurst, instant aNow)
{
  assert(aRate > 0 && aBurst > 0);
  Advance(aNow);
  if (mIsBlocked) {
    mOutstanding = std::max(mOutstanding, aBurst);
  }
  mRate = aRate;
  mBurst = aBurst;
  mLevel = std::clamp(mBurst - mOutstanding, 0.0, mLevel);
}

double rate_ledger::GetLevel(instant aNow)
{
  Advance(aNow);
  return mLevel;
}

double rate_ledger::GetOutstanding(instant aNow)
{
  Advance(aNow);
  return mOutstanding;
}

void rate_ledger::Advance(instant aNow)
{
  if (mIsBlocked) {
    if (aNow < mBlockedUntil) {
      return;
    }
    mIsBlocked = false;
    mOutstanding = 0;
  }
  while (!mByExpiry.empty() && mByExpiry.begin()->first <= aNow) {
    Refill(mByExpiry.begin()->first);
    RemoveGrant(mByExpiry.begin()->second);
  }
  Refill(aNow);
}

void rate_ledger::Refill(instant aUntil)
{
  if (aUntil <= mRefilledAt) {
    return;
  }
  const double seconds =
    static_cast<double>((aUntil - mRefilledAt).count()) / kMicrosecondsPerSecond;
  mRefilledAt = aUntil;
  const double room = std::max(0.0, mBurst - mOutstanding);
  mLevel = std::min(mLevel + seconds * mRate, room);
}

void rate_ledger::RemoveGrant(grant_number aGrant)
{
  const auto found = mGrants.find(aGrant);
  mOutstanding = std::max(0.0, mOutstanding - found->second.mTokens);
  mByExpiry.erase({ found->second.mExpiresAt, aGrant });
  mGrants.erase(found);
  if (mGrants.empty()) {
    // Resets the sum, so that rounding errors do not accumulate.
    mOutstanding = 0;
  }
}

} // namespace citronpulley
