#ifndef CITRONPULLEY_BASE_PLUGIN_REGISTRY_H
#define CITRONPULLEY_BASE_PLUGIN_REGISTRY_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace citronpulley {

/**
 * Registry of the implementations of an interface, by name. Each implementation registers itself
 * through a static `registration` object in its own source file.
 *
 * @tparam Interface abstract class with a virtual destructor
 */
template<typename Interface>
class plugin_registry
{
public:
  using factory = std::function<std::unique_ptr<Interface>()>;

  /** Registers a factory in its constructor. */
  class registration
  {
  public:
    registration(std::string aName, factory aFactory)
    {
      Instance().mFactories.insert_or_assign(std::move(aName), std::move(aFactory));
    }
  };

  /** @return the singleton registry of the interface */
  static plugin_registry& Instance()
  {
    static plugin_registry sInstance;
    return sInstance;
  }

  /**
   * Creates an implementation.
   *
   * @param aName name under which the implementation was registered
   * @return the implementation, or null when the name is unknown
   */
  std::unique_ptr<Interface> Make(std::string_view aName) const
  {
    const auto found = mFactories.find(aName);
    return found == mFactories.end() ? nullptr : found->second();
  }

  /** @return all names in alphabetical order */
  std::vector<std::string> ListNames() const
  {
    std::vector<std::string> names;
    for (const auto& [name, make] : mFactories) {
      names.push_back(name);
    }
    return names;
  }

private:
  std::map<std::string, factory, std::less<>> mFactories;
};

} // namespace citronpulley

#endif
