#ifndef CITRONPULLEY_GATEWAY_WIRE_DIALECT_H
#define CITRONPULLEY_GATEWAY_WIRE_DIALECT_H

#include "citronpulley/base/result.h"
#include "citronpulley/fleet/fleet_state.h"
#include "citronpulley/gateway/http_message.h"
#include "citronpulley/steering/backend_pool.h"
#include "citronpulley/steering/backend_record.h"
#include "citronpulley/steering/traffic_config.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronpulley {

/** Names of the HTTP header fields that callers and backend servers use. */
struct header_names
{
  std::string mRequestId;
  /** Remaining time in milliseconds for which the sender waits for the response. */
  std::string mDeadline;
  std::string mAffinityKey;
  /** Signature by which a backend server proves that it produced the response. */
  std::string mSignature;
  /** API key of the caller; never forwarded to backend servers. */
  std::string mKey;
  std::string mWorkspace;
  /** Id of the only backend server that may execute the request; others answer 421. */
  std::string mExpectedBackend;
  /** Current load of the backend server, sent with its responses. */
  std::string mLoad;
  /** Requests per second that the backend server takes from all VMs together. */
  std::string mLimit;
  /** Present with the value 1 in each response of a backend server that leaves. */
  std::string mLeaving;
  /** Present in a response when the backend server did not execute the request. */
  std::string mNotExecuted;
};

/** Operator call that replaces the configuration. */
struct put_config_call
{
  /** Parsed configuration, or the parse error. */
  result<traffic_config> mConfig;
  /** Body as received; this text is what is stored and replicated. */
  std::string mText;
};

/** Operator call that returns the current configuration. */
struct get_config_call
{};

/** Operator call that starts or ends the evacuation of a zone. */
struct evacuation_call
{
  set_evacuation mCommand;
};

/** Announcement that a backend server sends periodically. */
struct announcement_call
{
  /** Parsed record, or the parse error. */
  result<backend_record> mRecord;
};

/** Notice that a backend server accepts no new requests any more. */
struct departure_call
{
  record_departure mCommand;
};

/** Request of a caller for the addresses of entry VMs. */
struct resolve_call
{
  zone_name mZone;
  region_name mRegion;
};

/** Readiness probe of the platform at an entry VM. */
struct ready_call
{};

/** Request that matches no call of this interface. */
struct unknown_call
{};

using control_call = std::variant<unknown_call,
                                  put_config_call,
                                  get_config_call,
                                  evacuation_call,
                                  announcement_call,
                                  departure_call,
                                  resolve_call,
                                  ready_call>;

/**
 * Translates between the types of this module and the header names, paths and body formats of a
 * platform. Implementations only translate and contain no decision logic. All methods are called
 * from one thread.
 */
class wire_dialect
{
public:
  wire_dialect() = default;
  virtual ~wire_dialect() = default;
  wire_dialect(const wire_dialect&) = delete;
  wire_dialect& operator=(const wire_dialect&) = delete;

  virtual const header_names& GetHeaders() const = 0;

  /** @return the call that matches method and path, or `unknown_call` */
  virtual control_call ParseCall(const http_request& aRequest) const = 0;

  /**
   * @return the configuration, whose values are not validated here; an error when the text is
   * malformed
   */
  virtual result<traffic_config> ParseConfig(std::string_view aText) const = 0;

  /** @return the load in the value of the load header, or nothing when it is malformed */
  virtual std::optional<load_report> ParseLoad(std::string_view aValue) const = 0;

  /**
   * @return requests per second in the value of the limit header, or nothing when it is malformed
   */
  virtual std::optional<double> ParseLimit(std::string_view aValue) const = 0;

  /**
   * @param aAddresses caller addresses of entry VMs
   * @param aTtl       time for which callers may cache the list
   * @return the response body that lists the entry VMs
   */
  virtual std::string WriteEntryVms(const std::vector<std::string>& aAddresses,
                                    microseconds aTtl) const = 0;

  /** @return the body of an error response */
  virtual std::string WriteError(std::string_view aMessage) const = 0;
};

} // namespace citronpulley

#endif
