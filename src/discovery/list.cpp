#include "discovery/list.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <limits>

#include "settings/json_fields.hpp"

namespace yoketurn {

namespace json = boost::json;

namespace {

Member parse_member(const json::value& value) {
  const auto* object = value.if_object();
  if (object == nullptr) throw InputError("member list: an entry of \"servers\" is not an object");
  Member member;
  member.id = string_field(*object, "id");
  const auto state = string_field(*object, "state");
  member.removed = state == "gone";
  member.up = state == "ready";
  if (!member.removed && !member.up && state != "draining") throw_invalid_value("state", state);
  const auto addr = string_field(*object, "addr");
  const auto endpoint = parse_endpoint(addr);
  if (!endpoint) throw_invalid_value("addr", addr);
  member.endpoint = *endpoint;
  member.zone = string_field(*object, "zone");
  member.cell = number_field<int>(*object, "cell", 0, static_cast<int>(kMaxIndex));
  member.started_at = {number_field<double>(*object, "started_ms", 0, std::numeric_limits<double>::max()) /
                       1e3};
  return member;
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  const auto port_text = text.substr(colon + 1);
  unsigned short port = 0;
  const auto [end, port_error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error || port_error != std::errc{} || end != port_text.data() + port_text.size()) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

MemberList parse_member_list(const json::object& object) {
  MemberList list;
  list.version = number_field<long long>(object, "version", 0, std::numeric_limits<long long>::max());
  const auto* full = required_field(object, "full").if_bool();
  const auto* members = required_field(object, "servers").if_array();
  if (full == nullptr || members == nullptr)
    throw InputError("member list: \"full\" is not a boolean or \"servers\" is not an array");
  list.full = *full;
  for (const auto& member : *members) list.members.push_back(parse_member(member));
  return list;
}

MemberList parse_member_list(std::string_view text) {
  return parse_member_list(parse_json_object(text, "the member list"));
}

}  // namespace yoketurn
