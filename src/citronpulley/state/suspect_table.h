#ifndef CITRONPULLEY_STATE_SUSPECT_TABLE_H
#define CITRONPULLEY_STATE_SUSPECT_TABLE_H

#include "citronpulley/base/digest.h"
#include "citronpulley/state/view_delta.h"
#include "citronpulley/wire/request_messages.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Requests that are suspected of crashing backend servers, part of the replicated state.
 *
 * A crash of a server makes suspects of all requests that ran on it. Suspects then run alone, so
 * that a second crash proves which request is at fault, and an innocent one is cleared by its first
 * answer.
 */
class suspect_table
{
public:
  /** Crashes while running alone after which a request is quarantined. */
  static constexpr std::uint32_t kLoneCrashLimit = 2;

  /**
   * Counts a crash, or clears a suspect that was answered. Each instance of a server counts once.
   *
   * @return fingerprints whose records changed
   */
  std::vector<digest> Report(const crash_report& aReport);

  /**
   * Ends the suspicion against a request.
   *
   * @return false when the request is not suspected
   */
  bool Clear(const digest& aFingerprint);

  /** @return the record, or null when the request is not suspected */
  const suspect_record* Find(const digest& aFingerprint) const noexcept;

  /** @return all records by fingerprint */
  const std::map<digest, suspect_record>& GetAll() const noexcept { return mSuspects; }

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mSuspects, mCountedCrashes);
  }

private:
  std::map<digest, suspect_record> mSuspects;
  std::set<std::pair<server_name, std::string>> mCountedCrashes;
};

} // namespace citronpulley

#endif
