#ifndef CITRONPULLEY_STORAGE_DURABLE_LOG_H
#define CITRONPULLEY_STORAGE_DURABLE_LOG_H

#include "citronpulley/base/result.h"
#include "citronpulley/storage/file_system.h"
#include "citronpulley/wire/consensus_messages.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronpulley {

struct byte_range;

/**
 * Log of entries in one file. An appended entry is durable once Sync() succeeded. After a failed
 * operation all further ones fail, because the content of the file is then unknown.
 */
class durable_log
{
public:
  static constexpr const char* kFileName = "log";

  /** Content of the file: index and term before the first entry, and the entries after them. */
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
   * Reads the log, also after a failed operation. Records from the first incomplete one on are
   * removed if none of them was ever reported as stored.
   *
   * @return the entries, `not_found` if there is no file, or `storage_damaged` with file and offset
   */
  result<content> Recover();

  /** Replaces the log atomically and durably by one that starts after index `aStartIndex` and holds
   * `aEntries`. */
  status Reset(log_index aStartIndex,
               term_number aStartTerm,
               const std::vector<log_entry>& aEntries);

  /**
   * Appends entries. Existing entries at and after the index of the first one are removed first.
   *
   * @param aEntries entries with consecutive indexes, the first at most GetLastIndex() + 1
   */
  status Append(const std::vector<log_entry>& aEntries);

  /** Makes all appended entries durable. */
  status Sync();

  /** @return index of the last appended entry, or the start index if the log is empty */
  log_index GetLastIndex() const noexcept { return mStartIndex + mOffsets.size(); }

private:
  static std::string EncodeEntry(const log_entry& aEntry,
                                 std::uint64_t aOffset,
                                 const byte_range& aUnsynced);
  /** Records a failure. @return `aStatus`, or an error if this or an earlier operation failed */
  status RecordStatus(status aStatus);

  file_system& mFiles;
  std::string mFolder;
  std::string mPath;
  log_index mStartIndex = 0;
  /** File offset of each entry's record. */
  std::vector<std::uint64_t> mOffsets;
  std::uint64_t mSize = 0;
  /** Size at the last successful sync. */
  std::uint64_t mDurableSize = 0;
  bool mIsFailed = false;
};

} // namespace citronpulley

#endif
