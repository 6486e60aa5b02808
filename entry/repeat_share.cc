#include "entry/repeat_share.h"

#include <algorithm>

namespace ebony {

namespace {

constexpr duration kSlice = std::chrono::seconds(1);

}  // namespace

repeat_share::repeat_share(repeat_share_options options) : options_(options) {}

auto repeat_share::SetGateways(std::size_t count) -> void {
  gateways_ = std::max(gateways_, count);
}

auto repeat_share::GetSlice(const service_name& service, mono_time now)
    -> slice& {
  auto& slices = services_[service];
  while (!slices.empty() && now - slices.front().begin > options_.window) {
    slices.pop_front();
  }
  if (slices.empty() || now - slices.back().begin >= kSlice) {
    slices.push_back({now, 0, 0});
  }
  return slices.back();
}

auto repeat_share::OnRequest(const service_name& service, mono_time now)
    -> void {
  GetSlice(service, now).requests += 1;
}

auto repeat_share::HasRoom(const service_name& service, mono_time now) -> bool {
  GetSlice(service, now);  // drops what is older than the window
  auto requests = 0.0;
  auto repeats = 0.0;
  for (const auto& item : services_[service]) {
    requests += item.requests;
    repeats += item.repeats;
  }
  const auto allowed =
      options_.used_part * (options_.ratio * requests +
                            options_.slack / static_cast<double>(gateways_));
  return repeats + 1 <= allowed;
}

auto repeat_share::TryTake(const service_name& service, mono_time now) -> bool {
  if (!HasRoom(service, now)) {
    return false;
  }
  GetSlice(service, now).repeats += 1;
  return true;
}

}  // namespace ebony
