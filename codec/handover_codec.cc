#include "codec/handover_codec.h"

#include <charconv>

namespace ebony {

namespace {

constexpr auto kDigits = "0123456789abcdef";
constexpr auto kBase = 16;

auto ToDigits(const std::string& bytes) -> std::string {
  auto text = std::string();
  text.reserve(bytes.size() * 2);
  for (const auto byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    text.push_back(kDigits[value / kBase]);
    text.push_back(kDigits[value % kBase]);
  }
  return text;
}

auto FromDigits(const std::string& text) -> std::optional<std::string> {
  if (text.size() % 2 != 0) {
    return std::nullopt;
  }
  auto bytes = std::string();
  for (auto at = std::size_t{0}; at < text.size(); at += 2) {
    auto value = 0U;
    const auto* begin = text.data() + at;
    const auto [end, error] = std::from_chars(begin, begin + 2, value, kBase);
    if (error != std::errc() || end != begin + 2) {
      return std::nullopt;
    }
    bytes.push_back(static_cast<char>(value));
  }
  return bytes;
}

auto FindErrorKind(const std::string& code) -> std::optional<error_kind> {
  for (auto i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<error_kind>(i);
    if (GetErrorAnswer(kind).code == code) {
      return kind;
    }
  }
  return std::nullopt;
}

}  // namespace

auto EncodeTerms(const handover_terms& terms) -> std::string {
  auto message = schema::handover_terms_row();
  message.set_config_number(terms.config.get());
  message.set_service(terms.service.get());
  if (terms.software) {
    message.set_has_software(true);
    message.set_software(terms.software->get());
  }
  message.set_organisation(terms.organisation.get());
  for (const auto& id : terms.tried) {
    message.add_tried(id.get());
  }
  return ToDigits(message.SerializeAsString());
}

auto DecodeTerms(const std::string& text) -> std::optional<handover_terms> {
  const auto bytes = FromDigits(text);
  auto message = schema::handover_terms_row();
  if (!bytes || !message.ParseFromString(*bytes) || message.service().empty()) {
    return std::nullopt;
  }
  auto terms = handover_terms();
  terms.config = config_number(message.config_number());
  terms.service = service_name(message.service());
  terms.organisation = organisation_name(message.organisation());
  if (message.has_software()) {
    terms.software = software_version(message.software());
  }
  for (const auto& id : message.tried()) {
    terms.tried.emplace_back(id);
  }
  return terms;
}

auto EncodeResult(const handover_result& result) -> std::string {
  auto message = schema::handover_result_row();
  if (result.error) {
    message.set_error(std::string(GetErrorAnswer(*result.error).code));
  }
  message.set_declined(result.is_declined);
  message.set_retry_after_us(
      static_cast<std::uint64_t>(result.retry_after.count()));
  message.set_backend(result.backend.get());
  message.set_born_ms(result.start_time_ms);
  message.set_software(result.software.get());
  return ToDigits(message.SerializeAsString());
}

auto DecodeResult(const std::string& text) -> std::optional<handover_result> {
  const auto bytes = FromDigits(text);
  auto message = schema::handover_result_row();
  if (!bytes || !message.ParseFromString(*bytes)) {
    return std::nullopt;
  }
  auto result = handover_result();
  if (!message.error().empty()) {
    result.error = FindErrorKind(message.error());
    if (!result.error) {
      return std::nullopt;
    }
  }
  result.is_declined = message.declined();
  result.retry_after =
      duration(static_cast<duration::rep>(message.retry_after_us()));
  result.backend = backend_name(message.backend());
  result.start_time_ms = message.born_ms();
  result.software = software_version(message.software());
  return result;
}

auto GetPort(const host_port& address) -> std::uint32_t {
  const auto& text = address.get();
  auto port = 0U;
  const auto* begin = text.data() + text.rfind(':') + 1;
  std::from_chars(begin, text.data() + text.size(), port);
  return port;
}

auto MakePeerAddress(const std::string& caller_address, std::uint32_t port)
    -> host_port {
  if (port == 0) {
    return {};
  }
  const auto ip = caller_address.substr(0, caller_address.rfind(':'));
  return host_port(ip + ":" + std::to_string(port));
}

auto AddPeers(schema::sync_answer& answer,
              const std::vector<peer_gateway>& peers) -> void {
  for (const auto& peer : peers) {
    auto* row = answer.add_peers();
    row->set_vm(peer.vm.get());
    row->set_address(peer.address.get());
    row->set_data_centre(peer.data_centre.get());
  }
}

auto GetPeers(const schema::sync_answer& answer) -> std::vector<peer_gateway> {
  auto peers = std::vector<peer_gateway>();
  for (const auto& row : answer.peers()) {
    peers.push_back({vm_name(row.vm()), host_port(row.address()),
                     data_centre_name(row.data_centre())});
  }
  return peers;
}

}  // namespace ebony
