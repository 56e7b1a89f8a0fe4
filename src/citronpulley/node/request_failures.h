#ifndef CITRONPULLEY_NODE_REQUEST_FAILURES_H
#define CITRONPULLEY_NODE_REQUEST_FAILURES_H

#include "citronpulley/base/error.h"
#include "citronpulley/wire/request_messages.h"

#include <string>
#include <utility>

namespace citronpulley {

/** @return a request failure with the codes in their encoded form */
inline request_failure MakeFailure(error_code aCode,
                                   step aStep,
                                   std::string aPeer,
                                   std::string aMessage,
                                   request_outcome aOutcome)
{
  return { static_cast<std::int32_t>(aCode),
           static_cast<std::int32_t>(aStep),
           std::move(aPeer),
           std::move(aMessage),
           aOutcome };
}

/** @return the failure of a request that was refused before it was sent anywhere */
inline request_failure MakeRefusal(const error& aError)
{
  return MakeFailure(static_cast<error_code>(aError.mCode.value()),
                     aError.mStep,
                     aError.mPeer,
                     aError.mMessage,
                     request_outcome::NotRun);
}

/** @return the error that a failure describes, without its outcome */
inline error ToError(const request_failure& aFailure)
{
  return MakeError(static_cast<error_code>(aFailure.mCode),
                   static_cast<step>(aFailure.mStep),
                   aFailure.mPeer,
                   aFailure.mMessage);
}

} // namespace citronpulley

#endif
