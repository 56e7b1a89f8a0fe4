#include "citronpulley/config/config_fault.h"

namespace citronpulley {

std::string ToString(const config_fault& aFault)
{
  std::string text = aFault.mFile;
  if (aFault.mLine > 0) {
    text += ":" + std::to_string(aFault.mLine);
  }
  if (!aFault.mKey.empty()) {
    text += ": " + aFault.mKey;
  }
  return text + ": found " + aFault.mFound + ", expected " + aFault.mExpected;
}

} // namespace citronpulley
