#include "citronpulley/gateway/guarded_run.h"

#include <exception>

namespace citronpulley {

void RunGuarded(boost::asio::io_context& aIo,
                const std::function<void(const std::string& aDescription)>& aOnFailure)
{
  bool isFinished = false;
  while (!isFinished) {
    try {
      aIo.run();
      isFinished = true;
    } catch (const std::exception& failure) {
      aOnFailure(failure.what());
    }
  }
}

} // namespace citronpulley
