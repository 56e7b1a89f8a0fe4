#include "citronpulley/gateway/entry_gateway.h"
#include "citronpulley/gateway/relay_fields.h"

#include <algorithm>
#include <chrono>

namespace citronpulley {

namespace {

/** Subtracted from the deadline sent to backend servers, so that they give up before this VM. */
constexpr std::int64_t kDeadlineMarginMs = 5;

} // namespace

http_fields entry_gateway::CopyCallerFields(const exchange& aExchange, instant aNow) const
{
  const http_request& message = aExchange.mRequest->mMessage;
  http_fields fields;
  for (const http_field& field : message.mFields) {
    const bool isReplaced = IsSameName(field.mName, mHeaderNames.mKey) ||
                            IsSameName(field.mName, mHeaderNames.mDeadline) ||
                            IsSameName(field.mName, mHeaderNames.mWorkspace) ||
                            IsSameName(field.mName, mHeaderNames.mExpectedBackend) ||
                            IsSameName(field.mName, "Expect") || IsRelayField(field.mName);
    if (!isReplaced && !IsHopByHopField(message.mFields, field.mName)) {
      fields.push_back(field);
    }
  }
  const std::int64_t remainingMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(aExchange.mTicket.mDeadline - aNow)
      .count();
  fields.push_back({ mHeaderNames.mDeadline,
                     std::to_string(std::max<std::int64_t>(1, remainingMs - kDeadlineMarginMs)) });
  return fields;
}

channel_request entry_gateway::MakeChannelRequest(const exchange& aExchange, instant aNow) const
{
  http_fields fields = CopyCallerFields(aExchange, aNow);
  fields.push_back({ mHeaderNames.mExpectedBackend, aExchange.mPlacement.mBackend });
  if (!aExchange.mTicket.mWorkspace.IsEmpty()) {
    fields.push_back({ mHeaderNames.mWorkspace, aExchange.mTicket.mWorkspace.mValue });
  }
  return EncodeChannelRequest(aExchange.mRequest->mMessage, fields);
}

channel_request entry_gateway::EncodeChannelRequest(const http_request& aMessage,
                                                    const http_fields& aFields) const
{
  channel_request channelRequest;
  channelRequest.mEncoded =
    WriteRequest(aMessage.mMethod, aMessage.mTarget, aFields, aMessage.mBody);
  channelRequest.mIsHead = aMessage.mMethod == "HEAD";
  channelRequest.mRequestIdName = mHeaderNames.mRequestId;
  if (const std::string* id = FindField(aMessage.mFields, mHeaderNames.mRequestId)) {
    channelRequest.mRequestId = *id;
  }
  return channelRequest;
}

attempt_outcome entry_gateway::Classify(channel_end aEnd, const http_response& aResponse) const
{
  if (aEnd == channel_end::NotSent) {
    return attempt_outcome::NotSent;
  }
  if (aEnd == channel_end::Withheld) {
    return attempt_outcome::Withheld;
  }
  if (aEnd != channel_end::Answered) {
    return attempt_outcome::Lost;
  }
  if (aResponse.mStatus == 421) {
    return attempt_outcome::WrongInstance;
  }
  if (FindField(aResponse.mFields, mHeaderNames.mNotExecuted) != nullptr) {
    return attempt_outcome::NotExecuted;
  }
  const bool isSuccess = aResponse.mStatus >= 200 && aResponse.mStatus < 300;
  if (isSuccess && (FindField(aResponse.mFields, mHeaderNames.mSignature) == nullptr ||
                    FindField(aResponse.mFields, "Content-Encoding") != nullptr)) {
    return attempt_outcome::Lost;
  }
  return aResponse.mStatus >= 500 ? attempt_outcome::Failed : attempt_outcome::Answered;
}

} // namespace citronpulley
