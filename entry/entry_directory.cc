#include "entry/entry_directory.h"

#include <utility>

namespace ebony {

namespace {

// Requests in flight at which an entry has half the weight of an idle one.
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
  peer.last_report = now;
  peer.has_reported = true;
  peer.is_serving = serving;
  peer.is_draining = draining;
  peer.in_flight = in_flight;
}

auto entry_directory::ListEntries(mono_time now) const
    -> std::vector<directory_entry> {
  auto entries = std::vector<directory_entry>();
  for (const auto& [vm, peer] : peers_) {
    const auto is_live =
        peer.has_reported && now - peer.last_report < options_.peer_timeout;
    if (is_live && peer.is_serving && !peer.is_draining) {
      entries.push_back(peer.entry);
      entries.back().weight = GetWeight(peer.in_flight);
    }
  }
  if (!entries.empty()) {
    return entries;
  }
  // No peer is known to serve, for example just after a start. List all peers
  // except those that reported that they are draining or not serving, and as a
  // last resort all peers. An entry that has not reported its own state has
  // just started and does not serve yet.
  for (const auto& [vm, peer] : peers_) {
    if (vm == self_ && !peer.has_reported) {
      continue;
    }
    const auto reports_not_serving =
        peer.has_reported && !peer.is_serving &&
        now - peer.last_report < options_.peer_timeout;
    if (!peer.is_draining && !reports_not_serving) {
      entries.push_back(peer.entry);
      entries.back().weight = 1;
    }
  }
  if (entries.empty()) {
    for (const auto& [vm, peer] : peers_) {
      entries.push_back(peer.entry);
      entries.back().weight = 1;
    }
  }
  return entries;
}

}  // namespace ebony
