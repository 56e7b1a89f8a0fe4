#include "citronpulley/storage/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>

namespace citronpulley {

namespace {

constexpr mode_t kFileMode = 0600;

error MakeFileError(const std::string& aPath, int aNumber)
{
  const error_code code = aNumber == ENOENT ? error_code::NotFound : error_code::StorageFailed;
  return MakeError(code,
                   step::Store,
                   aPath,
                   std::generic_category().message(aNumber) + " (errno " + std::to_string(aNumber) +
                     ")");
}

status MakeStatus(const std::string& aPath, int aResult)
{
  if (aResult != 0) {
    return MakeFileError(aPath, errno);
  }
  return std::monostate{};
}

} // namespace

posix_file_system::~posix_file_system()
{
  for (const auto& [path, descriptor] : mOpen) {
    ::close(descriptor);
  }
}

result<std::string> posix_file_system::Read(const std::string& aPath)
{
  const int descriptor = ::open(aPath.c_str(), O_RDONLY | O_CLOEXEC);
  if (descriptor < 0) {
    return MakeFileError(aPath, errno);
  }
  constexpr std::size_t kBlock = 1UL << 16U;
  std::string content;
  ssize_t count = 0;
  do {
    const std::size_t size = content.size();
    content.resize(size + kBlock);
    count = ::read(descriptor, content.data() + size, kBlock);
    content.resize(size + (count > 0 ? static_cast<std::size_t>(count) : 0));
  } while (count > 0 || (count < 0 && errno == EINTR));
  const int failure = errno;
  ::close(descriptor);
  if (count < 0) {
    return MakeFileError(aPath, failure);
  }
  return content;
}

status posix_file_system::Append(const std::string& aPath, std::string_view aBytes)
{
  const int descriptor = Open(aPath);
  if (descriptor < 0) {
    return MakeFileError(aPath, errno);
  }
  while (!aBytes.empty()) {
    const ssize_t count = ::write(descriptor, aBytes.data(), aBytes.size());
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count <= 0) {
      return MakeFileError(aPath, count < 0 ? errno : EIO);
    }
    aBytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return std::monostate{};
}

status posix_file_system::Truncate(const std::string& aPath, std::uint64_t aSize)
{
  const int descriptor = Open(aPath);
  if (descriptor < 0) {
    return MakeFileError(aPath, errno);
  }
  return MakeStatus(aPath, ::ftruncate(descriptor, static_cast<off_t>(aSize)));
}

status posix_file_system::Replace(const std::string& aFrom, const std::string& aTo)
{
  Close(aFrom);
  Close(aTo);
  return MakeStatus(aTo, std::rename(aFrom.c_str(), aTo.c_str()));
}

status posix_file_system::Remove(const std::string& aPath)
{
  Close(aPath);
  if (::unlink(aPath.c_str()) != 0 && errno != ENOENT) {
    return MakeFileError(aPath, errno);
  }
  return std::monostate{};
}

status posix_file_system::SyncFile(const std::string& aPath)
{
  const int descriptor = Open(aPath);
  if (descriptor < 0) {
    return MakeFileError(aPath, errno);
  }
  return MakeStatus(aPath, ::fdatasync(descriptor));
}

status posix_file_system::SyncDirectory(const std::string& aPath)
{
  const int descriptor = ::open(aPath.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (descriptor < 0) {
    return MakeFileError(aPath, errno);
  }
  status synced = MakeStatus(aPath, ::fsync(descriptor));
  ::close(descriptor);
  return synced;
}

result<std::vector<std::string>> posix_file_system::List(const std::string& aPath)
{
  std::error_code failure;
  std::filesystem::create_directories(aPath, failure);
  std::vector<std::string> names;
  for (std::filesystem::directory_iterator entry(aPath, failure), end; !failure && entry != end;
       entry.increment(failure)) {
    names.push_back(entry->path().filename().string());
  }
  if (failure) {
    return MakeFileError(aPath, failure.value());
  }
  return names;
}

status posix_file_system::Lock(const std::string& aPath)
{
  const int descriptor = Open(aPath);
  if (descriptor < 0) {
    return MakeFileError(aPath, errno);
  }
  if (::flock(descriptor, LOCK_EX | LOCK_NB) != 0) {
    return MakeError(error_code::StorageFailed,
                     step::Store,
                     aPath,
                     errno == EWOULDBLOCK
                       ? "another process holds the lock of the data folder"
                       : "cannot lock the data folder: errno " + std::to_string(errno));
  }
  return std::monostate{};
}

int posix_file_system::Open(const std::string& aPath)
{
  const auto found = mOpen.find(aPath);
  if (found != mOpen.end()) {
    return found->second;
  }
  const int descriptor =
    ::open(aPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, kFileMode);
  if (descriptor >= 0) {
    mOpen.emplace(aPath, descriptor);
  }
  return descriptor;
}

void posix_file_system::Close(const std::string& aPath)
{
  const auto found = mOpen.find(aPath);
  if (found != mOpen.end()) {
    ::close(found->second);
    mOpen.erase(found);
  }
}

} // namespace citronpulley
