#include "discovery/list.hpp"

#include <boost/asio/ip/address.hpp>
#include <boost/json.hpp>
#include <charconv>

#include "settings/settings.hpp"

namespace yoketurn {

namespace json = boost::json;

namespace {

const json::value& field(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr) throw Malformed("list: no " + std::string(name));
  return *value;
}

double number(const json::value& value, const char* what) {
  boost::system::error_code error;
  const auto result = value.to_number<double>(error);
  if (error) throw Malformed(std::string("list: ") + what + " is no number");
  return result;
}

long long whole(const json::value& value, const char* what) {
  boost::system::error_code error;
  const auto result = value.to_number<long long>(error);
  if (error) throw Malformed(std::string("list: ") + what + " is no whole number");
  return result;
}

std::string text(const json::value& value, const char* what) {
  const auto* result = value.if_string();
  if (result == nullptr || result->empty()) throw Malformed(std::string("list: ") + what + " is no text");
  return std::string(*result);
}

Member read_member(const json::value& value) {
  const auto* object = value.if_object();
  if (object == nullptr) throw Malformed("list: an entry is no object");
  Member member;
  member.id = text(field(*object, "id"), "id");
  const auto state = text(field(*object, "state"), "state");
  member.gone = state == "gone";
  member.up = state == "ready";
  if (!member.gone && !member.up && state != "draining") throw Malformed("list: no such state: " + state);
  const auto addr = text(field(*object, "addr"), "addr");
  const auto at = read_endpoint(addr);
  if (!at) throw Malformed("list: no such address: " + addr);
  member.at = *at;
  member.zone = text(field(*object, "zone"), "zone");
  const auto cell = whole(field(*object, "cell"), "cell");
  if (cell < 0 || cell > 1'000'000) throw Malformed("list: cell out of range");
  member.cell = static_cast<int>(cell);
  member.started = number(field(*object, "started_ms"), "started_ms") / 1e3;
  return member;
}

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> read_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
  const auto port_text = text.substr(colon + 1);
  unsigned short port = 0;
  const auto [end, wrong] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error || wrong != std::errc{} || end != port_text.data() + port_text.size()) return std::nullopt;
  return boost::asio::ip::tcp::endpoint(address, port);
}

MemberList read_list(const json::value& value) {
  const auto* object = value.if_object();
  if (object == nullptr) throw Malformed("list: no object");
  MemberList list;
  list.version = whole(field(*object, "version"), "version");
  const auto* full = field(*object, "full").if_bool();
  const auto* members = field(*object, "servers").if_array();
  if (full == nullptr || members == nullptr) throw Malformed("list: full or servers makes no sense");
  list.full = *full;
  for (const auto& member : *members) list.members.push_back(read_member(member));
  return list;
}

MemberList read_list(std::string_view text) {
  boost::system::error_code error;
  const auto value = json::parse(json::string_view(text.data(), text.size()), error);
  if (error) throw Malformed("list: " + error.message());
  return read_list(value);
}

}  // namespace yoketurn
