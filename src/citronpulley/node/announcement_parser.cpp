#include "citronpulley/node/announcement_parser.h"

#include <boost/json.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <optional>
#include <string>

namespace citronpulley {

namespace {

constexpr std::int64_t kMaxSlots = 100'000;

error MakeAnnouncementError(const std::string& aMessage)
{
  return MakeError(error_code::BadRequest, step::Announce, "", aMessage);
}

std::string GetText(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::optional<std::int64_t> GetInteger(const boost::json::object& aObject, std::string_view aName)
{
  const boost::json::value* value = aObject.if_contains(aName);
  if (value == nullptr || !value->is_int64()) {
    return std::nullopt;
  }
  return value->get_int64();
}

bool IsIpv4AddressWithPort(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  in_addr address{};
  if (inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address) != 1) {
    return false;
  }
  std::uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, failure] = std::from_chars(aText.data() + colon + 1, end, port);
  return failure == std::errc{} && stop == end && port > 0;
}

} // namespace

result<server_announcement> ParseAnnouncement(std::string_view aBody)
{
  boost::system::error_code failure;
  const boost::json::value document =
    boost::json::parse(boost::json::string_view(aBody.data(), aBody.size()), failure);
  if (failure || !document.is_object()) {
    return MakeAnnouncementError("the body is not a JSON object");
  }
  const boost::json::object& object = document.get_object();
  server_announcement announcement;
  announcement.mServer = server_name(GetText(object, "address"));
  announcement.mService = service_name(GetText(object, "service"));
  announcement.mZone = zone_name(GetText(object, "zone"));
  announcement.mInstance = GetText(object, "instance");
  if (!IsIpv4AddressWithPort(announcement.mServer.mValue)) {
    return MakeAnnouncementError("address must be IP:port");
  }
  if (announcement.mService.IsEmpty() || announcement.mZone.IsEmpty() ||
      announcement.mInstance.empty()) {
    return MakeAnnouncementError("service, zone and instance must be texts that are not empty");
  }
  const std::optional<std::int64_t> slots = GetInteger(object, "slots");
  if (!slots || *slots < 1 || *slots > kMaxSlots) {
    return MakeAnnouncementError("slots must be an integer from 1 to 100000");
  }
  announcement.mSlots = static_cast<std::uint32_t>(*slots);
  const std::optional<std::int64_t> running = GetInteger(object, "running");
  if (running && (*running < 0 || *running > kMaxSlots)) {
    return MakeAnnouncementError("running must be an integer from 0 to 100000");
  }
  announcement.mHasRunningCount = running.has_value();
  announcement.mRunning = static_cast<std::uint32_t>(running.value_or(0));
  if (const boost::json::value* load = object.if_contains("load")) {
    if (!load->is_number() || load->to_number<double>() < 0 || load->to_number<double>() > 1) {
      return MakeAnnouncementError("load must be a number from 0 to 1");
    }
    announcement.mLoad = load->to_number<double>();
  }
  if (const boost::json::value* leaving = object.if_contains("leaving")) {
    if (!leaving->is_bool()) {
      return MakeAnnouncementError("leaving must be true or false");
    }
    announcement.mIsLeaving = leaving->get_bool();
  }
  return announcement;
}

} // namespace citronpulley
