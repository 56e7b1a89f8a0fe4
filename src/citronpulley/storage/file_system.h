#ifndef CITRONPULLEY_STORAGE_FILE_SYSTEM_H
#define CITRONPULLEY_STORAGE_FILE_SYSTEM_H

#include "citronpulley/base/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/**
 * Interface to the file operations that the storage module uses. Written bytes are durable only
 * after SyncFile() succeeded; a created, replaced or removed name only after SyncDirectory()
 * succeeded.
 */
class file_system
{
public:
  file_system() = default;
  virtual ~file_system() = default;
  file_system(const file_system&) = delete;
  file_system& operator=(const file_system&) = delete;

  /** @return the whole content, or `not_found` if the file does not exist */
  virtual result<std::string> Read(const std::string& aPath) = 0;

  /** Appends bytes; creates the file if it does not exist. */
  virtual status Append(const std::string& aPath, std::string_view aBytes) = 0;

  /** Truncates a file to a size in bytes. */
  virtual status Truncate(const std::string& aPath, std::uint64_t aSize) = 0;

  /** Renames a file; an existing file of the new name is replaced atomically. */
  virtual status Replace(const std::string& aFrom, const std::string& aTo) = 0;

  /** Removes a file; a missing file is not an error. */
  virtual status Remove(const std::string& aPath) = 0;

  /** Makes the content of a file durable. */
  virtual status SyncFile(const std::string& aPath) = 0;

  /** Makes the names in a directory durable. */
  virtual status SyncDirectory(const std::string& aPath) = 0;

  /** @return names of the files in a directory; a missing directory is created */
  virtual result<std::vector<std::string>> List(const std::string& aPath) = 0;

  /** Locks a file against other processes for the lifetime of this object. Fails if another
   * process holds the lock. */
  virtual status Lock(const std::string& aPath) = 0;
};

/**
 * Replaces the whole content of a file atomically and durably, by way of a temporary file `.new`.
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
