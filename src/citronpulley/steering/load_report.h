#ifndef CITRONPULLEY_STEERING_LOAD_REPORT_H
#define CITRONPULLEY_STEERING_LOAD_REPORT_H

namespace citronpulley {

/** Load reported by a backend server in a response. */
struct load_report
{
  double mRunning = 0;
  double mWaiting = 0;
  double mSlots = 0;

  friend bool operator==(const load_report&, const load_report&) = default;
};

} // namespace citronpulley

#endif
