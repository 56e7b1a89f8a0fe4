#ifndef CITRONPULLEY_CONFIG_TOML_READER_H
#define CITRONPULLEY_CONFIG_TOML_READER_H

#include "citronpulley/config/config_fault.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace citronpulley {

/**
 * Reads one table of a TOML text and collects every fault instead of stopping at the first. Each
 * key must be read once; CheckUnknownKeys() then reports the keys that nothing asked for.
 */
class toml_reader
{
public:
  /** Bounds of an integer, both included. */
  struct bounds
  {
    std::int64_t mLowest;
    std::int64_t mHighest;
  };

  /**
   * Parses a text.
   *
   * @param aText TOML text
   * @param aFile name of the file for the faults
   * @param aFaults gets every fault; must outlive the reader
   */
  toml_reader(std::string_view aText, std::string aFile, config_faults& aFaults);
  ~toml_reader();
  toml_reader(toml_reader&&) noexcept;
  toml_reader& operator=(toml_reader&&) = delete;

  /** @return false when the text is not valid TOML; the fault is recorded then */
  bool IsParsed() const noexcept;

  /** Reads a string that must be there and must not be empty. */
  std::string RequireString(std::string_view aKey);
  /** Reads a string, or gives the default when the key is absent. */
  std::string ReadString(std::string_view aKey, std::string aDefault);
  /** Reads an integer that must be there. */
  std::int64_t RequireInteger(std::string_view aKey, bounds aBounds);
  /** Reads an integer, or gives the default when the key is absent. */
  std::int64_t ReadInteger(std::string_view aKey, bounds aBounds, std::int64_t aDefault);
  /** Reads a number of zero or more, or gives the default when the key is absent. */
  double ReadNumber(std::string_view aKey, double aDefault);
  /** Reads a boolean, or gives the default when the key is absent. */
  bool ReadBoolean(std::string_view aKey, bool aDefault);
  /** Reads an array of strings; an absent key is an empty array. */
  std::vector<std::string> ReadStrings(std::string_view aKey);

  /**
   * Reads an array of tables, or one table as an array of one. Checks each table for unknown keys.
   *
   * @param aKey key of the array; an absent key is an empty array
   * @param aRead called with a reader for each table
   */
  void ReadTables(std::string_view aKey, const std::function<void(toml_reader&)>& aRead);

  /** Records a fault at a key of this table. */
  void Report(std::string_view aKey, std::string aFound, std::string aExpected);

  /** Records a fault for each key that was not read. */
  void CheckUnknownKeys();

private:
  struct context;

  explicit toml_reader(std::unique_ptr<context> aContext) noexcept;

  std::unique_ptr<context> mContext;
};

} // namespace citronpulley

#endif
