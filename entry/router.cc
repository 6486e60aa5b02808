#include "entry/router.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ebony {

namespace {

// Weight of a new sample in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.1;
constexpr std::size_t kMaxPrefixHints = 100000;
// Fraction of its equal share of a server's limit that an entry uses.
constexpr double kOwnShareOfLimit = 0.93;
// Up to this many usable candidates are all compared.
constexpr std::size_t kMaxCompareAll = 2;

auto ToSeconds(duration time) -> double {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

router::router(router_options options, random_source random)
    : options_(std::move(options)),
      random_(std::move(random)),
      permits_({kOwnShareOfLimit}, random_) {}

auto router::GetLoad(const backend_route& backend) -> backend_load& {
  auto& load = loads_[backend.name];
  if (load.run != backend.run) {
    // The server has restarted, so the state of its previous run is discarded.
    const auto own_requests = load.own_requests;
    load = backend_load();
    load.run = backend.run;
    load.own_requests = own_requests;
  }
  return load;
}

auto router::EstimateLoad(const backend_load& load, mono_time now) const
    -> double {
  auto estimate = static_cast<double>(load.own_requests);
  if (options_.use_reports) {
    const auto age = ToSeconds(now - load.reported);
    estimate +=
        load.other_requests * std::exp(-age / ToSeconds(options_.report_decay));
  }
  return estimate;
}

auto router::IsUsable(const backend_route& backend,
                      const route_query& query,
                      mono_time now) -> bool {
  const auto& load = GetLoad(backend);
  if (backend.leaving || load.leaving || load.has_said_leaving) {
    return false;
  }
  if (query.software != nullptr && backend.software != *query.software) {
    return false;
  }
  if (query.avoid != nullptr && query.avoid->contains(backend.name)) {
    return false;
  }
  if (now < load.ejected_until) {
    return false;
  }
  // After the ejection expires, the server is probed with one request at a
  // time.
  if (load.failures >= options_.failures_to_eject && load.own_requests > 0) {
    return false;
  }
  return HoldsAdapter(backend, query.model, query.adapter);
}

auto router::HasCapacity(const backend_route& backend,
                         priority_class priority,
                         mono_time now) -> bool {
  const auto factor = priority == priority_class::urgent
                          ? options_.urgent_overcommit
                          : options_.overcommit;
  return EstimateLoad(GetLoad(backend), now) <
         std::max(1.0, std::floor(backend.slots * factor));
}

auto router::Score(const backend_route& backend,
                   const route_query& query,
                   mono_time now) -> double {
  const auto& load = GetLoad(backend);
  if (options_.policy == routing_policy::least_outstanding) {
    return load.own_requests;
  }
  const auto load_per_slot = (EstimateLoad(load, now) + 1) / backend.slots;
  auto score = load_per_slot * load.service_seconds;
  if (options_.use_distance &&
      backend.data_centre != options_.local_data_centre) {
    score += ToSeconds(options_.remote_penalty);
  }
  if (options_.use_prefix_hints && query.prefix_hash != 0) {
    const auto hint = prefixes_.find(query.prefix_hash);
    if (hint != prefixes_.end() && hint->second.backend == backend.name) {
      const auto age = ToSeconds(now - hint->second.used);
      const auto confidence = std::exp(-age / ToSeconds(options_.prefix_decay));
      score -= confidence * options_.prefix_saving * load.service_seconds;
    }
  }
  return score;
}

auto router::FindPrefixHolder(const std::vector<const backend_route*>& usable,
                              const route_query& query,
                              mono_time now) const -> const backend_route* {
  if (!options_.use_prefix_hints || query.prefix_hash == 0) {
    return nullptr;
  }
  const auto hint = prefixes_.find(query.prefix_hash);
  if (hint == prefixes_.end() ||
      now - hint->second.used > options_.prefix_decay) {
    return nullptr;
  }
  const auto found =
      std::find_if(usable.begin(), usable.end(), [&hint](const auto* backend) {
        return backend->name == hint->second.backend;
      });
  return found == usable.end() ? nullptr : *found;
}

auto router::ChooseBySample(const std::vector<const backend_route*>& usable,
                            const route_query& query,
                            mono_time now) -> const backend_route* {
  auto sampled = std::vector<const backend_route*>();
  if (usable.size() <= std::max(kMaxCompareAll, options_.samples)) {
    sampled = usable;
  } else {
    while (sampled.size() < options_.samples) {
      const auto* candidate = usable[random_(usable.size())];
      if (std::find(sampled.begin(), sampled.end(), candidate) ==
          sampled.end()) {
        sampled.push_back(candidate);
      }
    }
  }
  if (const auto* prefix_holder = FindPrefixHolder(usable, query, now)) {
    sampled.push_back(prefix_holder);
  }
  // Ties are broken at random, so that the entries do not all choose the same
  // server.
  const auto first = random_(sampled.size());
  std::rotate(sampled.begin(),
              sampled.begin() + static_cast<std::ptrdiff_t>(first),
              sampled.end());
  return *std::min_element(
      sampled.begin(), sampled.end(), [&](const auto* a, const auto* b) {
        return Score(*a, query, now) < Score(*b, query, now);
      });
}

auto router::Choose(const route_query& query, mono_time now) -> route_choice {
  auto usable = std::vector<const backend_route*>();
  auto has_usable = false;
  for (const auto* backend : *query.candidates) {
    if (!IsUsable(*backend, query, now)) {
      continue;
    }
    has_usable = true;
    const auto has_permit =
        permits_.GetSource(backend->name, backend->run.get(), false, now) !=
        permit_source::none;
    const auto is_paused =
        pauses_.GetTimeLeft(backend->name, backend->run.get(), now) >
        duration(0);
    if (has_permit && !is_paused &&
        HasCapacity(*backend, query.priority, now)) {
      usable.push_back(backend);
    }
  }
  if (usable.empty()) {
    return {has_usable ? route_verdict::all_busy : route_verdict::none_usable,
            nullptr};
  }
  if (options_.policy == routing_policy::round_robin) {
    return {route_verdict::chosen, usable[next_index_++ % usable.size()]};
  }
  return {route_verdict::chosen, ChooseBySample(usable, query, now)};
}

auto router::OnSent(const backend_route& backend,
                    std::uint64_t prefix_hash,
                    mono_time now) -> void {
  ++GetLoad(backend).own_requests;
  const auto source =
      permits_.GetSource(backend.name, backend.run.get(), false, now);
  permits_.OnSent(backend.name, backend.run.get(), source, now);
  pauses_.OnSent(backend.name, backend.run.get(), now);
  if (prefix_hash != 0 &&
      (prefixes_.size() < kMaxPrefixHints || prefixes_.contains(prefix_hash))) {
    prefixes_[prefix_hash] = {backend.name, now};
  }
}

auto router::OnEnded(const backend_name& backend) -> void {
  auto& load = loads_[backend];
  load.own_requests -= load.own_requests > 0 ? 1 : 0;
}

auto router::OnFinished(const backend_name& backend, duration service) -> void {
  auto& load = loads_[backend];
  load.service_seconds +=
      kServiceTimeWeight * (ToSeconds(service) - load.service_seconds);
  load.failures = 0;
  load.next_ejection = duration(0);
}

auto router::OnFailed(const backend_name& backend, mono_time now) -> bool {
  auto& load = loads_[backend];
  ++load.failures;
  if (load.failures < options_.failures_to_eject) {
    return false;
  }
  load.next_ejection = std::clamp(load.next_ejection * 2, options_.eject_min,
                                  options_.eject_max);
  load.ejected_until = now + load.next_ejection;
  return true;
}

auto router::OnReport(const backend_name& backend,
                      incarnation run,
                      std::uint32_t running,
                      std::uint32_t queued,
                      mono_time now) -> void {
  auto& load = loads_[backend];
  if (run < load.run) {
    return;
  }
  load.run = run;
  load.other_requests =
      std::max(0.0, static_cast<double>(running) + queued - load.own_requests);
  load.reported = now;
}

auto router::OnSaidLeaving(const backend_route& backend) -> bool {
  return !std::exchange(GetLoad(backend).has_said_leaving, true);
}

auto router::SetLeaving(const backend_name& backend, bool leaving) -> void {
  loads_[backend].leaving = leaving;
}

auto router::GetServiceTime(const std::vector<const backend_route*>& candidates)
    -> duration {
  if (candidates.empty()) {
    return duration(0);
  }
  auto sum = 0.0;
  for (const auto* backend : candidates) {
    sum += GetLoad(*backend).service_seconds;
  }
  const auto mean = sum / static_cast<double>(candidates.size());
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(mean));
}

auto router::Prune(const routing_table& table, mono_time now) -> void {
  std::erase_if(loads_, [&table](const auto& item) {
    return item.second.own_requests == 0 &&
           table.FindBackend(item.first) == nullptr;
  });
  permits_.Prune([&table](const backend_name& id) {
    return table.FindBackend(id) != nullptr;
  });
  std::erase_if(prefixes_, [this, now](const auto& item) {
    return now - item.second.used > options_.prefix_decay;
  });
}

}  // namespace ebony
