#ifndef CITRONPULLEY_BASE_IDENTIFIERS_H
#define CITRONPULLEY_BASE_IDENTIFIERS_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace citronpulley {

/**
 * Strongly typed name: names of different kinds are different types and cannot be mixed up.
 *
 * @tparam Tag incomplete type that identifies the kind of name
 */
template<typename Tag>
struct typed_name
{
  std::string mValue;

  typed_name() = default;
  explicit typed_name(std::string aValue) noexcept
    : mValue(std::move(aValue))
  {
  }

  /** @return true when no name is set */
  bool IsEmpty() const noexcept { return mValue.empty(); }

  friend auto operator<=>(const typed_name&, const typed_name&) = default;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mValue);
  }
};

/** Name of a VM of the system, unique in a deployment. */
using vm_name = typed_name<struct vm_name_tag>;
/** Name of an availability zone, unique in a deployment. */
using zone_name = typed_name<struct zone_name_tag>;
using region_name = typed_name<struct region_name_tag>;
using service_name = typed_name<struct service_name_tag>;
/** Name of a workspace; empty for requests on open routes. */
using workspace_name = typed_name<struct workspace_name_tag>;
/** Name of a backend server: its address as `IP:port`. */
using server_name = typed_name<struct server_name_tag>;
/** Public part of a caller's key; may be logged. */
using key_id = typed_name<struct key_id_tag>;

/** Number that identifies one run of a process; it increases with each run. */
using incarnation = std::uint64_t;

} // namespace citronpulley

template<typename Tag>
struct std::hash<citronpulley::typed_name<Tag>>
{
  std::size_t operator()(const citronpulley::typed_name<Tag>& aName) const noexcept
  {
    return std::hash<std::string>{}(aName.mValue);
  }
};

#endif
