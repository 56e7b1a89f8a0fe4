#include "citronpulley/node/request_checks.h"

#include "citronpulley/state/claim_table.h"

#include <algorithm>
#include <string>

namespace citronpulley {

namespace {

/**
 * Computes the digest that identifies repeats of a request. Headers are left out, because they may
 * differ between repeats. The length prefixes keep the boundaries of the parts unambiguous.
 */
digest ComputeFingerprint(const active_request& aRequest)
{
  std::string text;
  for (const std::string* part : { &aRequest.mWorkspace.mValue,
                                   &aRequest.mService.mValue,
                                   &aRequest.mRequest.mMethod,
                                   &aRequest.mRequest.mTarget,
                                   &aRequest.mRequest.mBody }) {
    text += std::to_string(part->size()) + ":" + *part;
  }
  return ComputeDigest(text);
}

std::optional<error> Authenticate(const request_check_context& aContext,
                                  const caller_request& aCallerRequest,
                                  active_request& aRequest,
                                  instant aNow)
{
  if (!aCallerRequest.mKey) {
    return MakeError(error_code::Unauthorized, step::Authenticate, "", "the route needs a key");
  }
  if (!aContext.mLink.IsFresh(aNow)) {
    return MakeError(error_code::NotFresh,
                     step::Authenticate,
                     aContext.mSelf.mValue,
                     "this VM cannot confirm that the key is still valid");
  }
  const key_record* record = aContext.mLink.GetView().FindKey(aCallerRequest.mKey->mKey);
  // The digest is computed for unknown ids too, so that the response time does not reveal which ids
  // exist.
  const key_digest presented = ComputeKeyDigest(aCallerRequest.mKey->mSecret, aContext.mSecret);
  if (record == nullptr || !(record->mDigest == presented)) {
    return MakeError(error_code::Unauthorized, step::Authenticate, "", "the key is not valid");
  }
  if (aContext.mLink.GetView().GetCatalogue()->FindWorkspace(record->mWorkspace) == nullptr) {
    return MakeError(
      error_code::Unauthorized, step::Authenticate, "", "the key's workspace is not configured");
  }
  aRequest.mWorkspace = record->mWorkspace;
  return std::nullopt;
}

} // namespace

std::optional<error> CheckRequest(const request_check_context& aContext,
                                  const caller_request& aCallerRequest,
                                  active_request& aRequest,
                                  instant aNow)
{
  aRequest.mService = aCallerRequest.mService;
  aRequest.mTrace = aCallerRequest.mTrace;
  const catalogue* content = aContext.mLink.GetView().GetCatalogue();
  if (content == nullptr) {
    return MakeError(
      error_code::NotReady, step::ReadRequest, "", "no configuration has been received yet");
  }
  const service_entry* service = content->FindService(aCallerRequest.mService);
  if (service == nullptr) {
    return MakeError(error_code::UnknownService, step::Route, "", "the service is not configured");
  }
  const service_route* route =
    FindRoute(*service, aCallerRequest.mRequest.mMethod, aCallerRequest.mPath);
  if (route == nullptr) {
    return MakeError(
      error_code::UnknownRoute, step::Route, "", "no route matches the method and path");
  }
  if (!route->mIsOpen) {
    if (std::optional<error> refusal = Authenticate(aContext, aCallerRequest, aRequest, aNow)) {
      return refusal;
    }
  }
  aRequest.mIsIdempotent = route->mIsIdempotent;
  aRequest.mIsUrgent = aCallerRequest.mIsUrgent && route->mAllowsUrgent;
  const std::int64_t milliseconds =
    std::min(route->mDeadlineMilliseconds,
             aCallerRequest.mRemainingMilliseconds.value_or(route->mDeadlineMilliseconds));
  aRequest.mDeadline = aNow + std::chrono::milliseconds(milliseconds);
  aRequest.mRequest = aCallerRequest.mRequest;
  aRequest.mFingerprint = ComputeFingerprint(aRequest);
  if (!aRequest.mIsIdempotent) {
    if (!ParseIdempotencyKeyTime(aCallerRequest.mIdempotencyKey)) {
      return MakeError(error_code::BadRequest,
                       step::ReadRequest,
                       "",
                       "the route needs an Idempotency-Key header with a UUID of version 7");
    }
    aRequest.mIdempotencyKey = aCallerRequest.mIdempotencyKey;
  }
  const suspect_record* suspect = aContext.mLink.GetView().FindSuspect(aRequest.mFingerprint);
  if (suspect != nullptr && suspect->mIsQuarantined) {
    return MakeError(error_code::Quarantined,
                     step::Admit,
                     "",
                     "the request crashed backend servers; fingerprint " +
                       ToHex(aRequest.mFingerprint));
  }
  return std::nullopt;
}

} // namespace citronpulley
