#ifndef EBONY_CODEC_HANDOVER_CODEC_H_
#define EBONY_CODEC_HANDOVER_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/peer_gateway.h"
#include "schema/site.pb.h"

namespace ebony {

// Header fields of a request that a gateway hands over to a peer, and of the
// peer's answer. Their values are messages in hexadecimal digits.
constexpr const char* kHandoverField = "Ebony-Handover";
constexpr const char* kHandoverResultField = "Ebony-Handover-Result";

auto EncodeTerms(const handover_terms& terms) -> std::string;
// Returns no value for text that is not the encoding of terms.
auto DecodeTerms(const std::string& text) -> std::optional<handover_terms>;

auto EncodeResult(const handover_result& result) -> std::string;
// Returns no value for text that is not the encoding of a result.
auto DecodeResult(const std::string& text) -> std::optional<handover_result>;

// Gateways send only the port of their address for peers: its IP is that of
// their address for callers.
auto GetPort(const host_port& address) -> std::uint32_t;
// Returns an empty address for port 0.
auto MakePeerAddress(const std::string& caller_address, std::uint32_t port)
    -> host_port;

auto AddPeers(schema::sync_answer& answer,
              const std::vector<peer_gateway>& peers) -> void;
auto GetPeers(const schema::sync_answer& answer) -> std::vector<peer_gateway>;

}  // namespace ebony

#endif  // EBONY_CODEC_HANDOVER_CODEC_H_
