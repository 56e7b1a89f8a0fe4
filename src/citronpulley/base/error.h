#ifndef CITRONPULLEY_BASE_ERROR_H
#define CITRONPULLEY_BASE_ERROR_H

#include <string>
#include <string_view>
#include <system_error>

namespace citronpulley {

/** Error codes. Callers and operators see the names that ToString() returns, which must not change.
 */
enum class error_code
{
  Ok = 0,
  BadRequest,
  BadMessage,
  Unauthorized,
  NotFresh,
  NotReady,
  UnknownService,
  UnknownRoute,
  RateExceeded,
  RegionFull,
  NoBackendServer,
  Overloaded,
  DeadlineExceeded,
  ConnectionLost,
  BadBackendAnswer,
  HeadersTooLarge,
  BodyTooLarge,
  SlowSender,
  KeyReused,
  InProgress,
  OutcomeUnknown,
  KeyExpired,
  Quarantined,
  Draining,
  NotLeader,
  VersionConflict,
  InvalidText,
  NotFound,
  StorageFailed,
  StorageDamaged,
  Stranger,
  Replayed,
  Internal,
};

/** @return the published name of a code in snake case, such as `rate_exceeded` */
std::string_view ToString(error_code aCode) noexcept;

/** @return the category of all error codes of the project */
const std::error_category& GetErrorCategory() noexcept;

/** Converts a code to `std::error_code`; found by argument-dependent lookup. */
std::error_code make_error_code(error_code aCode) noexcept;

/** Processing step in which an error occurred. */
enum class step
{
  None = 0,
  ReadSettings,
  ReadRequest,
  Authenticate,
  Admit,
  Claim,
  Route,
  Forward,
  Connect,
  SendToBackend,
  ReadFromBackend,
  Answer,
  Announce,
  Replicate,
  Store,
  Recover,
  Decode,
  Submit,
};

/** @return the published name of a step in snake case, such as `read_request` */
std::string_view ToString(step aStep) noexcept;

/** Error with the processing step and the peer involved. */
struct error
{
  std::error_code mCode;
  step mStep = step::None;
  /** VM, address or file involved; empty when there is none. */
  std::string mPeer;
  std::string mMessage;

  friend bool operator==(const error&, const error&) = default;
};

/**
 * Makes an error with a code of the project.
 *
 * @param aCode error code
 * @param aStep processing step in which it occurred
 * @param aPeer VM, address or file involved; may be empty
 * @param aMessage description for operators; must not contain secrets
 * @return the error
 */
error MakeError(error_code aCode, step aStep, std::string aPeer, std::string aMessage);

} // namespace citronpulley

template<>
struct std::is_error_code_enum<citronpulley::error_code> : std::true_type
{
};

#endif
