#ifndef CITRONPULLEY_STORAGE_FILE_SYSTEM_H
#define CITRONPULLEY_STORAGE_FILE_SYSTEM_H

#include "citronpulley/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/**
 * Files as the storage module needs them. Nothing written counts as stored before the sync of its
 * file succeeded; a created, replaced or removed name counts only after the sync of its directory.
 */
class file_system
{
public:
  file_system() = default;
  virtual ~file_system() = default;
  file_system(const file_system&) = delete;
  file_system& operator=(const file_system&) = delete;

  /** @return the whole content, or `not_found` when the file does not exist */
  virtual result<std::string> Read(const std::string& aPath) = 0;

  /** Appends bytes; creates the file when it does not exist. */
  virtual status Append(const std::string& aPath, std::string_view aBytes) = 0;

  /** Cuts a file to a size. */
  virtual status Truncate(const std::string& aPath, std::uint64_t aSize) = 0;

  /** Renames a file, which replaces the target atomically. */
  virtual status Replace(const std::string& aFrom, const std::string& aTo) = 0;

  /** Removes a file; a missing file is no error. */
  virtual status Remove(const std::string& aPath) = 0;

  /** Makes the content of a file durable. */
  virtual status SyncFile(const std::string& aPath) = 0;

  /** Makes the names in a directory durable. */
  virtual status SyncDirectory(const std::string& aPath) = 0;

  /** @return names of the files in a directory; the directory is created when it is missing */
  virtual result<std::vector<std::string>> List(const std::string& aPath) = 0;

  /** Locks a file against other processes until this object ends. */
  virtual status Lock(const std::string& aPath) = 0;
};

/**
 * Writes a file as a whole and replaces its former content atomically and durably.
 *
 * @param aFiles file system
 * @param aFolder directory of the file
 * @param aName name in the directory
 * @param aBytes new content
 */
status ReplaceFile(file_system& aFiles,
                   const std::string& aFolder,
                   const std::string& aName,
                   std::string_view aBytes);

} // namespace citronpulley

#endif
