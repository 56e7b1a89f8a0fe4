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

/** Names of the header fields that callers and backend servers use. */
struct header_names
{
  std::string mRequestId;
  /** Milliseconds that the sender waits for the response. */
  std::string mDeadline;
  std::string mAffinityKey;
  /** Proof of a backend server that a response is its own. */
  std::string mSignature;
  /** Key of a caller; never sent to backend servers. */
  std::string mKey;
  std::string mWorkspace;
  /** Backend server that alone may run the request. */
  std::string mExpectedBackend;
  std::string mLoad;
  /** Present when the backend server did not run the request. */
  std::string mNotExecuted;
};

/** Call of an operator that replaces the configuration. */
struct put_config_call
{
  /** Configuration, or why it cannot be read. */
  result<traffic_config> mConfig;
  std::string mText;
};

/** Call that reads the newest configuration. */
struct get_config_call
{};

/** Call of an operator that starts or ends the evacuation of a zone. */
struct evacuation_call
{
  set_evacuation mCommand;
};

/** Announcement of a backend server. */
struct announcement_call
{
  /** Record, or why it cannot be read. */
  result<backend_record> mRecord;
};

/** A backend server takes no new requests any more. */
struct departure_call
{
  record_departure mCommand;
};

/** A caller asks which entry VMs to use. */
struct resolve_call
{
  zone_name mZone;
  region_name mRegion;
};

/** The platform asks whether an entry VM is ready. */
struct ready_call
{};

/** No call of this interface. */
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
 * Names and formats of the outside world. An implementation translates and decides nothing. Its
 * methods are called from one thread.
 */
class wire_dialect
{
public:
  wire_dialect() = default;
  virtual ~wire_dialect() = default;
  wire_dialect(const wire_dialect&) = delete;
  wire_dialect& operator=(const wire_dialect&) = delete;

  virtual const header_names& GetHeaders() const = 0;

  /** @return the call that a request makes */
  virtual control_call ParseCall(const http_request& aRequest) const = 0;

  /** @return the configuration in a text, valid or not; an error when it cannot be read */
  virtual result<traffic_config> ParseConfig(std::string_view aText) const = 0;

  /** @return the load that a header value states, or nothing */
  virtual std::optional<load_report> ParseLoad(std::string_view aValue) const = 0;

  /** @return the body that names entry VMs, which callers may keep for a time */
  virtual std::string WriteEntryVms(const std::vector<std::string>& aAddresses,
                                    microseconds aTtl) const = 0;

  /** @return the body of a refusal */
  virtual std::string WriteError(std::string_view aMessage) const = 0;
};

} // namespace citronpulley

#endif
