#ifndef CITRONPULLEY_STORAGE_POSIX_FILE_SYSTEM_H
#define CITRONPULLEY_STORAGE_POSIX_FILE_SYSTEM_H

#include "citronpulley/storage/file_system.h"

#include <map>

namespace citronpulley {

/** File operations of the operating system. Not thread-safe. */
class posix_file_system : public file_system
{
public:
  ~posix_file_system() override;

  result<std::string> Read(const std::string& aPath) override;
  status Append(const std::string& aPath, std::string_view aBytes) override;
  status Truncate(const std::string& aPath, std::uint64_t aSize) override;
  status Replace(const std::string& aFrom, const std::string& aTo) override;
  status Remove(const std::string& aPath) override;
  status SyncFile(const std::string& aPath) override;
  status SyncDirectory(const std::string& aPath) override;
  result<std::vector<std::string>> List(const std::string& aPath) override;
  status Lock(const std::string& aPath) override;

private:
  int Open(const std::string& aPath);
  void Close(const std::string& aPath);

  /**
   * Open descriptors of written files by path. A file is written and synced through the same
   * descriptor, because Linux reports a failed write-back only to descriptors that were open when
   * it failed.
   */
  std::map<std::string, int> mOpen;
};

} // namespace citronpulley

#endif
