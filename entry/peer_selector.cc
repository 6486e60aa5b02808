#include "entry/peer_selector.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace ebony {

peer_selector::peer_selector(data_centre_name data_centre, random_source random)
    : data_centre_(std::move(data_centre)), random_(std::move(random)) {}

auto peer_selector::SetPeers(std::vector<peer_gateway> peers) -> void {
  peers_ = std::move(peers);
  std::erase_if(states_, [this](const auto& item) {
    return item.second.in_flight <= 0 &&
           std::none_of(
               peers_.begin(), peers_.end(),
               [&](const peer_gateway& peer) { return peer.vm == item.first; });
  });
}

auto peer_selector::Choose(const std::set<vm_name>& avoid, mono_time now)
    -> const peer_gateway* {
  const peer_gateway* best = nullptr;
  auto best_rank = std::tuple<bool, int, std::uint64_t>();
  for (const auto& peer : peers_) {
    const auto& state = states_[peer.vm];
    if (avoid.contains(peer.vm) || state.excluded_until > now) {
      continue;
    }
    constexpr std::uint64_t kRandomSteps = 1U << 16U;
    const auto rank = std::tuple(peer.data_centre != data_centre_,
                                 state.in_flight, random_(kRandomSteps));
    if (best == nullptr || rank < best_rank) {
      best = &peer;
      best_rank = rank;
    }
  }
  return best;
}

auto peer_selector::OnStarted(const vm_name& peer) -> void {
  ++states_[peer].in_flight;
}

auto peer_selector::OnEnded(const vm_name& peer) -> void {
  --states_[peer].in_flight;
}

auto peer_selector::OnFailed(const vm_name& peer, mono_time now) -> void {
  states_[peer].excluded_until = now + kExclusion;
}

}  // namespace ebony
