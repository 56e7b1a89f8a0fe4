#ifndef CITRONPULLEY_BASE_ERROR_H
#define CITRONPULLEY_BASE_ERROR_H

#include <string>
#include <string_view>
#include <system_error>

namespace citronpulley {

/** Stable error codes; callers and operators see them by the name that ToString() gives. */
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

/** @return the stable name of a code in snake case, such as `rate_exceeded` */
std::string_view ToString(error_code aCode) noexcept;

/** @return the category of all error codes of the project */
const std::error_category& GetErrorCategory() noexcept;

/** Makes `std::error_code` from a code; found by argument-dependent look-up. */
std::error_code make_error_code(error_code aCode) noexcept;

/** Step of the work in which an error arose. */
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

/** @return the stable name of a step in snake case, such as `read_request` */
std::string_view ToString(step aStep) noexcept;

/** Error with the step and the peer at which it arose. */
struct error
{
  std::error_code mCode;
  step mStep = step::None;
  /** VM, address or file with which the process was dealing; empty when it was alone. */
  std::string mPeer;
  std::string mMessage;

  friend bool operator==(const error&, const error&) = default;
};

/**
 * Makes an error of the project.
 *
 * @param aCode what went wrong
 * @param aStep the step in which it did
 * @param aPeer VM, address or file concerned; may be empty
 * @param aMessage sentence for a person; holds no secret
 * @return the error
 */
error MakeError(error_code aCode, step aStep, std::string aPeer, std::string aMessage);

} // namespace citronpulley

template<>
struct std::is_error_code_enum<citronpulley::error_code> : std::true_type
{
};

#endif
