#include "citronpulley/storage/file_system.h"

namespace citronpulley {

status ReplaceFile(file_system& aFiles,
                   const std::string& aFolder,
                   const std::string& aName,
                   std::string_view aBytes)
{
  const std::string target = aFolder + "/" + aName;
  const std::string temporaryPath = target + ".new";
  if (status done = aFiles.Remove(temporaryPath); !done) {
    return done;
  }
  if (status done = aFiles.Append(temporaryPath, aBytes); !done) {
    return done;
  }
  if (status done = aFiles.SyncFile(temporaryPath); !done) {
    return done;
  }
  if (status done = aFiles.Replace(temporaryPath, target); !done) {
    return done;
  }
  return aFiles.SyncDirectory(aFolder);
}

} // namespace citronpulley
