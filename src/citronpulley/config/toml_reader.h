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
 * Reads the values of one TOML table. Faults are collected, and reading continues after each.
 * Read every documented key, then call CheckUnknownKeys(), which reports the keys that were not
 * read.
 */
class toml_reader
{
public:
  /** Bounds of an integer, both inclusive. */
  struct bounds
  {
    std::int64_t mLowest;
    std::int64_t mHighest;
  };

  /**
   * Parses a TOML text and reads its root table.
   *
   * @param aText TOML text
   * @param aFile file name to report in faults
   * @param aFaults all faults found are appended to it; must outlive the reader
   */
  toml_reader(std::string_view aText, std::string aFile, config_faults& aFaults);
  ~toml_reader();
  toml_reader(toml_reader&&) noexcept;
  toml_reader& operator=(toml_reader&&) = delete;

  /** @return false when the text is not valid TOML; the syntax fault has been recorded */
  bool IsParsed() const noexcept;

  /** Reads a required, non-empty string; returns an empty string when the key is absent or after a
   * fault. */
  std::string RequireString(std::string_view aKey);
  /** Reads a non-empty string; returns the default when the key is absent, and an empty string
   * after a fault. */
  std::string ReadString(std::string_view aKey, std::string aDefault);
  /** Reads a required integer; returns the lower bound when the key is absent or after a fault. */
  std::int64_t RequireInteger(std::string_view aKey, bounds aBounds);
  /** Reads an integer; returns the default when the key is absent, and the lower bound after a
   * fault. */
  std::int64_t ReadInteger(std::string_view aKey, bounds aBounds, std::int64_t aDefault);
  /** Reads a number of zero or more; returns the default when the key is absent or after a fault.
   */
  double ReadNumber(std::string_view aKey, double aDefault);
  /** Reads a boolean; returns the default when the key is absent or after a fault. */
  bool ReadBoolean(std::string_view aKey, bool aDefault);
  /** Reads an array of non-empty strings; returns an empty array when the key is absent. Elements
   * of another kind are reported and left out. */
  std::vector<std::string> ReadStrings(std::string_view aKey);

  /**
   * Reads an array of tables, or a single table, and checks each table for unknown keys.
   *
   * @param aKey key of the array; an absent key is treated as an empty array
   * @param aRead called once for each table, with a reader of that table
   */
  void ReadTables(std::string_view aKey, const std::function<void(toml_reader&)>& aRead);

  /** Records a fault at a key of this table, for checks that the caller makes. */
  void Report(std::string_view aKey, std::string aFound, std::string aExpected);

  /** Records a fault for each key of the table that was not read. */
  void CheckUnknownKeys();

private:
  struct context;

  explicit toml_reader(std::unique_ptr<context> aContext) noexcept;

  std::unique_ptr<context> mContext;
};

} // namespace citronpulley

#endif
