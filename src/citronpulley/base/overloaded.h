#ifndef CITRONPULLEY_BASE_OVERLOADED_H
#define CITRONPULLEY_BASE_OVERLOADED_H

namespace citronpulley {

/** Visitor for `std::visit` made of one lambda per alternative. */
template<typename... Visitors>
struct overloaded : Visitors...
{
  using Visitors::operator()...;
};

template<typename... Visitors>
overloaded(Visitors...) -> overloaded<Visitors...>;

} // namespace citronpulley

#endif
