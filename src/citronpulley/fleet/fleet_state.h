#ifndef CITRONPULLEY_FLEET_FLEET_STATE_H
#define CITRONPULLEY_FLEET_FLEET_STATE_H

#include "citronpulley/base/digest.h"
#include "citronpulley/base/identifiers.h"
#include "citronpulley/base/result.h"
#include "citronpulley/fleet/record_departure.h"
#include "citronpulley/steering/traffic_config.h"
#include "citronpulley/wire/consensus_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronpulley {

/** Puts a configuration in force if the version that it builds on is. */
struct put_config
{
  config_version mVersion = 0;
  config_version mBase = 0;
  /** Text as it was sent; the state does not read it. */
  std::string mText;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mVersion, mBase, mText);
  }
};

/** Starts or ends the evacuation of a zone. */
struct set_evacuation
{
  zone_name mZone;
  bool mIsEvacuated = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mZone, mIsEvacuated);
  }
};

using fleet_command = std::variant<put_config, set_evacuation, record_departure>;

/** Outcome of a command. */
enum class fleet_outcome : std::uint8_t
{
  /** In force, now or since an earlier copy of the command. */
  Accepted,
  /** Another version is in force. */
  Conflict,
  /** The version is not above the one in force. */
  NotNewer,
};

std::string EncodeFleetCommand(const fleet_command& aCommand);
result<fleet_command> DecodeFleetCommand(std::string_view aBytes);

/** Replicated state of direct steering. Deterministic; not thread-safe. */
class fleet_state
{
public:
  /** Departures that are kept; older ones are of backend servers that ended long ago. */
  static constexpr std::size_t kMaxDepartures = 4'000;
  /** Accepted configurations by which a resent one is recognised. */
  static constexpr std::size_t kMaxAccepted = 4'000;

  /** Applies the entry of the log with the next index. */
  fleet_outcome Apply(log_index aIndex, const fleet_command& aCommand);

  /** Counts an entry without a command. */
  void Skip(log_index aIndex) noexcept { mIndex = aIndex; }

  /** @return true when exactly this configuration was accepted before */
  bool WasAccepted(const put_config& aPut) const;

  /** @return true when the start of the backend server has left */
  bool HasDeparted(const std::string& aBackend, std::int64_t aStartedAtMs) const;

  /** @return the latest departures, at most as many as asked for */
  std::vector<record_departure> ListDepartures(std::size_t aLimit) const;

  log_index GetIndex() const noexcept { return mIndex; }
  config_version GetVersion() const noexcept { return mVersion; }
  const std::string& GetText() const noexcept { return mText; }
  const std::set<zone_name>& GetEvacuatedZones() const noexcept { return mEvacuatedZones; }

  std::string Encode() const;
  static result<fleet_state> Decode(std::string_view aBytes);

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mIndex,
             mVersion,
             mText,
             mAccepted,
             mAcceptedOrder,
             mEvacuatedZones,
             mDepartures,
             mDepartureOrder);
  }

private:
  fleet_outcome Apply(const put_config& aPut);
  fleet_outcome Apply(const set_evacuation& aSet);
  fleet_outcome Apply(const record_departure& aDeparture);

  log_index mIndex = 0;
  config_version mVersion = 0;
  std::string mText;
  std::set<digest> mAccepted;
  std::vector<digest> mAcceptedOrder;
  std::set<zone_name> mEvacuatedZones;
  /** Latest start that has left, by identity. */
  std::map<std::string, std::int64_t> mDepartures;
  std::vector<std::string> mDepartureOrder;
};

} // namespace citronpulley

#endif
