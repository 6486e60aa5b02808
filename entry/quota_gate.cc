#include "entry/quota_gate.h"

#include <algorithm>
#include <utility>

namespace ebony {

namespace {

// Time to come back if the coordinators have not said when there is credit.
constexpr duration kUnknownRetryAfter = std::chrono::milliseconds(500);
constexpr std::uint64_t kRandomSteps = 1000;

}  // namespace

quota_gate::quota_gate(quota_leases& leases, random_source random)
    : leases_(leases), random_(std::move(random)) {}

// Spread over the same time again, so that those refused together don't come
// back together.
auto quota_gate::Refuse(const organisation_name& name, mono_time now)
    -> quota_decision {
  const auto told = leases_.GetRetryAfter(name, now);
  auto decision = quota_decision();
  decision.is_unknown = told == duration(0) && leases_.IsOutOfContact(now);
  const auto base = told > duration(0) ? told : kUnknownRetryAfter;
  decision.retry_after = base + base * static_cast<int>(random_(kRandomSteps)) /
                                    static_cast<int>(kRandomSteps);
  return decision;
}

auto quota_gate::Admit(const organisation_name& name,
                       std::uint64_t amount,
                       duration max_wait,
                       mono_time now,
                       decision_hook on_decided) -> std::optional<waiter_id> {
  leases_.OnRequest(name, amount, now);
  auto& queue = waiters_[name];
  auto decision = quota_decision();
  // Those that wait already come first.
  if (queue.empty() && leases_.TrySpend(name, amount, now, decision.charge)) {
    decision.is_admitted = true;
    on_decided(decision);
    return std::nullopt;
  }
  const auto is_hopeless = leases_.GetRetryAfter(name, now) > max_wait;
  if (is_hopeless || queue.size() >= kMaxWaiting || max_wait <= duration(0)) {
    on_decided(Refuse(name, now));
    return std::nullopt;
  }
  queue.push_back({++last_id_, amount, now + max_wait, std::move(on_decided)});
  return last_id_;
}

auto quota_gate::Remove(const organisation_name& name, waiter_id id) -> void {
  const auto found = waiters_.find(name);
  if (found != waiters_.end()) {
    found->second.remove_if([id](const waiter& item) { return item.id == id; });
  }
}

auto quota_gate::Decide(
    const organisation_name& name,
    std::list<waiter>& queue,
    mono_time now,
    std::list<std::pair<decision_hook, quota_decision>>& decided) -> void {
  while (!queue.empty()) {
    auto& first = queue.front();
    auto decision = quota_decision();
    if (leases_.TrySpend(name, first.amount, now, decision.charge)) {
      decision.is_admitted = true;
      decided.emplace_back(std::move(first.on_decided), decision);
      queue.pop_front();
      continue;
    }
    break;
  }
  for (auto item = queue.begin(); item != queue.end();) {
    const auto left = item->expires - now;
    if (left > duration(0) && leases_.GetRetryAfter(name, now) <= left) {
      ++item;
      continue;
    }
    decided.emplace_back(std::move(item->on_decided), Refuse(name, now));
    item = queue.erase(item);
  }
}

auto quota_gate::DecideWaiting(mono_time now) -> void {
  auto decided = std::list<std::pair<decision_hook, quota_decision>>();
  for (auto& [name, queue] : waiters_) {
    Decide(name, queue, now, decided);
  }
  std::erase_if(waiters_, [](const auto& item) { return item.second.empty(); });
  // Hooks may add and remove requests.
  for (const auto& [hook, decision] : decided) {
    hook(decision);
  }
}

auto quota_gate::GetWanted() const -> quota_leases::waiting_amounts {
  auto wanted = quota_leases::waiting_amounts();
  for (const auto& [name, queue] : waiters_) {
    if (queue.empty()) {
      continue;
    }
    auto& item = wanted[name];
    item.second = queue.front().amount;
    for (const auto& waiting : queue) {
      item.first += waiting.amount;
    }
  }
  return wanted;
}

auto quota_gate::CountWaiting() const -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [name, queue] : waiters_) {
    count += queue.size();
  }
  return count;
}

}  // namespace ebony
