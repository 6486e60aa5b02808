#include "control/peer_choice.h"

#include <algorithm>
#include <utility>

#include "core/hashing.h"

namespace ebony {

namespace {

// A gateway and its rank among the candidates of another one (rendezvous
// hashing).
using ranked_peer = std::pair<std::uint64_t, const gateway_info*>;

auto ToPeer(const gateway_info& info) -> peer_gateway {
  return {info.vm, info.peer_address, info.data_centre};
}

}  // namespace

auto ChoosePeers(const gateway_registry& gateways,
                 const vm_name& vm,
                 const data_centre_name& data_centre,
                 mono_time now) -> std::vector<peer_gateway> {
  auto near = std::vector<ranked_peer>();
  auto far = std::vector<ranked_peer>();
  const auto seed = HashBytes(vm.get());
  for (const auto& [name, info] : gateways.get_all()) {
    const auto is_usable = info.is_ready && !info.reaches_no_server &&
                           info.peer_address != host_port() &&
                           now - info.last_seen <= gateway_registry::kTimeout;
    if (name == vm || !is_usable) {
      continue;
    }
    auto& list = info.data_centre == data_centre ? near : far;
    list.emplace_back(HashBytes(info.vm.get(), seed), &info);
  }
  std::sort(near.begin(), near.end());
  std::sort(far.begin(), far.end());
  const auto far_count = std::min(
      far.size(),
      std::max(kMaxPeers / 2, kMaxPeers - std::min(kMaxPeers, near.size())));
  const auto near_count = std::min(near.size(), kMaxPeers - far_count);
  auto peers = std::vector<peer_gateway>();
  for (auto i = std::size_t{0}; i < near_count; ++i) {
    peers.push_back(ToPeer(*near[i].second));
  }
  for (auto i = std::size_t{0}; i < far_count; ++i) {
    peers.push_back(ToPeer(*far[i].second));
  }
  return peers;
}

auto GetPeersDigest(const std::vector<peer_gateway>& peers) -> std::uint32_t {
  auto digest = std::uint64_t{0};
  for (const auto& peer : peers) {
    digest = HashBytes(
        peer.vm.get() + " " + peer.address.get() + " " + peer.data_centre.get(),
        digest + 1);
  }
  return peers.empty() ? 0 : std::max(1U, static_cast<std::uint32_t>(digest));
}

auto peer_lists::Get(const gateway_registry& gateways,
                     const vm_name& vm,
                     const data_centre_name& data_centre,
                     bool is_urgent,
                     mono_time now) -> const list& {
  if (lists_.size() > 2 * gateways.get_all().size() + kMaxPeers) {
    lists_.clear();  // most are of gateways that are gone
  }
  auto& found = lists_[vm];
  const auto max_age =
      is_urgent || found.peers.empty() ? kUrgentMaxAge : kMaxAge;
  if (found.made_at == mono_time() || now - found.made_at > max_age) {
    found.peers = ChoosePeers(gateways, vm, data_centre, now);
    found.digest = GetPeersDigest(found.peers);
    found.made_at = now;
  }
  return found;
}

}  // namespace ebony
