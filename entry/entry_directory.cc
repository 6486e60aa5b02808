#include "entry/entry_directory.h"

#include <utility>

namespace ebony {

namespace {

// Requests under way at which an entry gets half the weight of an idle one.
constexpr double kHalfWeightInFlight = 64;

auto GetWeight(std::uint32_t in_flight) -> double {
  return kHalfWeightInFlight / (kHalfWeightInFlight + in_flight);
}

}  // namespace

entry_directory::entry_directory(directory_options options,
                                 vm_name self,
                                 const std::vector<directory_entry>& entries)
    : options_(options), self_(std::move(self)) {
  for (const auto& entry : entries) {
    peers_[entry.vm].entry = entry;
  }
}

auto entry_directory::OnStateReport(const vm_name& vm,
                                    bool serving,
                                    bool draining,
                                    std::uint32_t in_flight,
                                    mono_time now) -> void {
  const auto found = peers_.find(vm);
  if (found == peers_.end()) {
    return;
  }
  auto& peer = found->second;
  peer.heard = now;
  peer.is_heard = true;
  peer.is_serving = serving;
  peer.is_draining = draining;
  peer.in_flight = in_flight;
}

auto entry_directory::ListEntries(mono_time now) const
    -> std::vector<directory_entry> {
  auto answer = std::vector<directory_entry>();
  for (const auto& [vm, peer] : peers_) {
    const auto is_live =
        peer.is_heard && now - peer.heard < options_.peer_timeout;
    if (is_live && peer.is_serving && !peer.is_draining) {
      answer.push_back(peer.entry);
      answer.back().weight = GetWeight(peer.in_flight);
    }
  }
  if (!answer.empty()) {
    return answer;
  }
  // Nobody is known to serve, as just after a start: callers try everyone who
  // did not say that they leave or do not serve, and as a last resort everyone.
  for (const auto& [vm, peer] : peers_) {
    const auto says_no = peer.is_heard && !peer.is_serving &&
                         now - peer.heard < options_.peer_timeout;
    if (!peer.is_draining && !says_no) {
      answer.push_back(peer.entry);
      answer.back().weight = 1;
    }
  }
  if (answer.empty()) {
    for (const auto& [vm, peer] : peers_) {
      answer.push_back(peer.entry);
      answer.back().weight = 1;
    }
  }
  return answer;
}

}  // namespace ebony
