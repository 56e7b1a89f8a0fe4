#ifndef CITRONPULLEY_BASE_OVERLOADED_H
#define CITRONPULLEY_BASE_OVERLOADED_H

namespace citronpulley {

/** Combines one lambda per alternative into a visitor for `std::visit`. */
template<typename... Visitors>
struct overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace citronpulley

#endif
