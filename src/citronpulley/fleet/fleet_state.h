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

/** Puts a configuration in force if its base version is the one in force. */
struct put_config
{
  config_version mVersion = 0;
  config_version mBase = 0;
  /** Text as it was submitted; the replicated state does not parse it. */
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
  /** The command is in force, by this or an earlier copy of it. */
  Accepted,
  /** The base version is not the one in force. */
  Conflict,
  /** The version is not higher than the one in force. */
  NotNewer,
};

/** @return name of the outcome in logs */
std::string_view ToString(fleet_outcome aOutcome) noexcept;

std::string EncodeFleetCommand(const fleet_command& aCommand);
result<fleet_command> DecodeFleetCommand(std::string_view aBytes);

/** Replicated state of direct steering. Deterministic; not thread-safe. */
class fleet_state
{
public:
  /** Maximum number of departures kept; older ones belong to processes that ended long ago. */
  static constexpr std::size_t kMaxDepartures = 4'000;
  /** Maximum number of accepted configurations kept to recognise a resent one. */
  static constexpr std::size_t kMaxAccepted = 4'000;

  /** Applies the command of the next log entry. */
  fleet_outcome Apply(log_index aIndex, const fleet_command& aCommand);

  /** Advances the index past a log entry without a command. */
  void Skip(log_index aIndex) noexcept { mIndex = aIndex; }

  /** @return true when exactly this configuration was accepted before */
  bool WasAccepted(const put_config& aPut) const;

  /**
   * @return true when this process start, or a later one, of the backend server has deregistered
   */
  bool HasDeparted(const std::string& aBackend, std::int64_t aStartedAtMs) const;

  /**
   * @return latest process start of the backend server that has deregistered, in Unix milliseconds,
   * or 0 when none is known
   */
  std::int64_t GetDepartedStartMs(const std::string& aBackend) const;

  /** @return the latest departures, at most `aLimit`, oldest first */
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
  /** Latest process start that has deregistered, by the identity of the backend server. */
  std::map<std::string, std::int64_t> mDepartures;
  std::vector<std::string> mDepartureOrder;
};

} // namespace citronpulley

#endif
