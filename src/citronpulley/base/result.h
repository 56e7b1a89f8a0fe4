#ifndef CITRONPULLEY_BASE_RESULT_H
#define CITRONPULLEY_BASE_RESULT_H

#include "citronpulley/base/error.h"

#include <cassert>
#include <utility>
#include <variant>

namespace citronpulley {

/**
 * Value or the error that prevented it.
 *
 * @tparam Value type of the value; not `error`
 */
template<typename Value>
class [[nodiscard]] result
{
public:
  result(Value aValue) // NOLINT(google-explicit-constructor): lets functions return a plain value
    : mContent(std::move(aValue))
  {
  }

  result(error aError) // NOLINT(google-explicit-constructor): lets functions return a plain error
    : mContent(std::move(aError))
  {
  }

  /** @return true when there is a value */
  explicit operator bool() const noexcept { return mContent.index() == 0; }

  /** @return the value; call only when the result has a value */
  const Value& Get() const noexcept
  {
    assert(*this);
    return *std::get_if<0>(&mContent);
  }

  /** @return the value, which may be moved from; call only when the result has a value */
  Value& Get() noexcept
  {
    assert(*this);
    return *std::get_if<0>(&mContent);
  }

  /** @return the error; call only when the result has no value */
  const error& GetError() const noexcept
  {
    assert(!*this);
    return *std::get_if<1>(&mContent);
  }

private:
  std::variant<Value, error> mContent;
};

/** Result of a function that returns no value, only success or an error. */
using status = result<std::monostate>;

} // namespace citronpulley

#endif
