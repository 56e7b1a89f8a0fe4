#ifndef CITRONPULLEY_STORAGE_DURABLE_LOG_H
#define CITRONPULLEY_STORAGE_DURABLE_LOG_H

#include "citronpulley/base/result.h"
#include "citronpulley/storage/file_system.h"
#include "citronpulley/wire/consensus_messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronpulley {

/**
 * Log of entries in one file. An appended entry counts as stored once Sync() succeeded. After any
 * failure the log refuses every further use, because the state of its file is unknown then.
 */
class durable_log
{
public:
  static constexpr const char* kFileName = "log";

  /** Entries that were found in the file, after the one at the start. */
  struct content
  {
    log_index mStartIndex = 0;
    term_number mStartTerm = 0;
    std::vector<log_entry> mEntries;
  };

  /**
   * @param aFiles file system; it must outlive the log
   * @param aFolder data folder
   */
  durable_log(file_system& aFiles, std::string aFolder);

  /**
   * Reads the log. An incomplete record at the end is truncated off; it was never reported as
   * stored.
   *
   * @return the entries, `not_found` without a file, or `storage_damaged` with file and offset
   */
  result<content> Recover();

  /** Replaces the log by one that starts after an entry and holds the given ones, durably. */
  status Reset(log_index aStartIndex,
               term_number aStartTerm,
               const std::vector<log_entry>& aEntries);

  /**
   * Appends entries. Entries at and after the index of the first one are removed before.
   *
   * @param aEntries entries with consecutive indexes, the first at most one above the last index
   */
  status Append(const std::vector<log_entry>& aEntries);

  /** Makes all appended entries durable. */
  status Sync();

  /** @return index of the last entry, appended or at the start */
  log_index GetLastIndex() const noexcept { return mStartIndex + mOffsets.size(); }

private:
  std::string EncodeEntry(const log_entry& aEntry, std::uint64_t aOffset) const;
  status RecordStatus(status aStatus);

  file_system& mFiles;
  std::string mFolder;
  std::string mPath;
  log_index mStartIndex = 0;
  /** Offset of each entry's record. */
  std::vector<std::uint64_t> mOffsets;
  std::uint64_t mSize = 0;
  bool mIsFailed = false;
};

} // namespace citronpulley

#endif
