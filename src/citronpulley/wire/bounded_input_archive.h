#ifndef CITRONPULLEY_WIRE_BOUNDED_INPUT_ARCHIVE_H
#define CITRONPULLEY_WIRE_BOUNDED_INPUT_ARCHIVE_H

#include <algorithm>
#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <cmath>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace citronpulley {

/**
 * Reads what `cereal::PortableBinaryOutputArchive` wrote, from bytes that may be damaged or forged.
 * No encoded length makes it allocate much more than the bytes that are left: strings are checked
 * against them, and vectors grow with their elements. Throws `cereal::Exception` on malformed
 * input, including floating-point numbers that are not finite.
 */
class bounded_input_archive
  : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision>
{
public:
  /** @param aBytes encoded bytes; must outlive the archive */
  explicit bounded_input_archive(std::string_view aBytes)
    : InputArchive(this)
    , mRest(aBytes)
  {
    std::uint8_t isLittleEndian = 0;
    ReadBytes(&isLittleEndian, sizeof(isLittleEndian));
    mIsSwapped = (isLittleEndian != 0) != (std::endian::native == std::endian::little);
  }

  std::size_t CountRemaining() const noexcept { return mRest.size(); }

  template<typename Number>
  void ReadNumber(Number& aNumber)
  {
    char bytes[sizeof(Number)];
    ReadBytes(bytes, sizeof(bytes));
    if (mIsSwapped) {
      std::reverse(std::begin(bytes), std::end(bytes));
    }
    if constexpr (std::is_same_v<Number, bool>) {
      aNumber = bytes[0] != 0;
    } else {
      std::memcpy(&aNumber, bytes, sizeof(bytes));
    }
    if constexpr (std::is_floating_point_v<Number>) {
      if (!std::isfinite(aNumber)) {
        throw cereal::Exception("a number is not finite");
      }
    }
  }

  void ReadBytes(void* aData, std::size_t aSize)
  {
    CheckLength(aSize);
    std::memcpy(aData, mRest.data(), aSize);
    mRest.remove_prefix(aSize);
  }

  /** Checks that a length in bytes does not exceed what is left. */
  void CheckLength(std::uint64_t aSize) const
  {
    if (aSize > mRest.size()) {
      throw cereal::Exception("a length of " + std::to_string(aSize) + " exceeds the remaining " +
                              std::to_string(mRest.size()) + " bytes");
    }
  }

private:
  std::string_view mRest;
  bool mIsSwapped = false;
};

} // namespace citronpulley

namespace cereal {

template<class T>
std::enable_if_t<std::is_arithmetic_v<T>> CEREAL_LOAD_FUNCTION_NAME(
  citronpulley::bounded_input_archive& aArchive,
  T& aNumber)
{
  aArchive.ReadNumber(aNumber);
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(citronpulley::bounded_input_archive& aArchive,
                                    NameValuePair<T>& aPair)
{
  aArchive(aPair.value);
}

template<class T>
void CEREAL_SERIALIZE_FUNCTION_NAME(citronpulley::bounded_input_archive& aArchive, SizeTag<T>& aTag)
{
  aArchive(aTag.size);
}

inline void CEREAL_LOAD_FUNCTION_NAME(citronpulley::bounded_input_archive& aArchive,
                                      std::string& aText)
{
  size_type size = 0;
  aArchive(make_size_tag(size));
  aArchive.CheckLength(size);
  aText.resize(static_cast<std::size_t>(size));
  aArchive.ReadBytes(aText.data(), aText.size());
}

template<class T, class A>
void CEREAL_LOAD_FUNCTION_NAME(citronpulley::bounded_input_archive& aArchive,
                               std::vector<T, A>& aElements)
{
  size_type size = 0;
  aArchive(make_size_tag(size));
  // Each element takes at least one byte.
  aArchive.CheckLength(size);
  aElements.clear();
  for (size_type i = 0; i < size; ++i) {
    aElements.emplace_back();
    aArchive(aElements.back());
  }
}

} // namespace cereal

// CEREAL_SETUP_ARCHIVE_TRAITS would also map the output archive back, which has a reader in cereal.
template<>
struct cereal::traits::detail::get_output_from_input<citronpulley::bounded_input_archive>
{
  using type = cereal::PortableBinaryOutputArchive;
};

#endif
