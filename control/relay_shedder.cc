#include "control/relay_shedder.h"

#include <utility>

namespace ebony {

relay_shedder::relay_shedder(std::function<std::uint64_t(std::uint64_t)> random)
    : random_(std::move(random)) {}

auto relay_shedder::SetRelays(std::vector<relay_address> relays,
                              const host_port& own) -> void {
  others_ = std::move(relays);
  std::erase_if(others_, [&own](const relay_address& relay) {
    return relay.link == own;
  });
}

auto relay_shedder::MustLeave(std::size_t served, std::size_t all) -> bool {
  if (others_.empty()) {
    return false;
  }
  const auto most = kMaxShares * all / (others_.size() + 1);
  return served > most &&
         random_(kSyncsToLeave * served) < std::uint64_t{served - most};
}

}  // namespace ebony
