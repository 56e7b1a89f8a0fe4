#include "citronpulley/base/error.h"

#include <array>
#include <cstddef>
#include <utility>

namespace citronpulley {

namespace {

constexpr std::array<std::string_view, 33> kCodeNames{
  "ok",
  "bad_request",
  "bad_message",
  "unauthorized",
  "not_fresh",
  "not_ready",
  "unknown_service",
  "unknown_route",
  "rate_exceeded",
  "region_full",
  "no_backend_server",
  "overloaded",
  "deadline_exceeded",
  "connection_lost",
  "bad_backend_answer",
  "headers_too_large",
  "body_too_large",
  "slow_sender",
  "key_reused",
  "in_progress",
  "outcome_unknown",
  "key_expired",
  "quarantined",
  "draining",
  "not_leader",
  "version_conflict",
  "invalid_text",
  "not_found",
  "storage_failed",
  "storage_damaged",
  "stranger",
  "replayed",
  "internal",
};

constexpr std::array<std::string_view, 18> kStepNames{
  "none",
  "read_settings",
  "read_request",
  "authenticate",
  "admit",
  "claim",
  "route",
  "forward",
  "connect",
  "send_to_backend",
  "read_from_backend",
  "answer",
  "announce",
  "replicate",
  "store",
  "recover",
  "decode",
  "submit",
};

static_assert(kCodeNames.size() == static_cast<std::size_t>(error_code::Internal) + 1);
static_assert(kStepNames.size() == static_cast<std::size_t>(step::Submit) + 1);

class citronpulley_category final : public std::error_category
{
public:
  const char* name() const noexcept override { return "citronpulley"; }

  std::string message(int aCondition) const override
  {
    return std::string(ToString(static_cast<error_code>(aCondition)));
  }
};

} // namespace

std::string_view ToString(error_code aCode) noexcept
{
  const auto index = static_cast<std::size_t>(aCode);
  return index < kCodeNames.size() ? kCodeNames[index] : "internal";
}

std::string_view ToString(step aStep) noexcept
{
  const auto index = static_cast<std::size_t>(aStep);
  return index < kStepNames.size() ? kStepNames[index] : "none";
}

const std::error_category& GetErrorCategory() noexcept
{
  static const citronpulley_category sCategory;
  return sCategory;
}

std::error_code make_error_code(error_code aCode) noexcept
{
  return { static_cast<int>(aCode), GetErrorCategory() };
}

error MakeError(error_code aCode, step aStep, std::string aPeer, std::string aMessage)
{
  return { make_error_code(aCode), aStep, std::move(aPeer), std::move(aMessage) };
}

} // namespace citronpulley
