#include "control/placement.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace ebony {

namespace {

constexpr int kTierFirstReplica = 0;
constexpr int kTierDeclared = 1;
constexpr int kTierSpread = 2;
// The last tier adds replicas for demand.
constexpr int kTierCount = 4;

auto MakeResident(const model_spec& spec) -> resident {
  return {spec.key, mebibytes(spec.weights.get() + spec.kv_cache.get()),
          spec.adapters};
}

// Returns the residents of an accelerator as of the completion of its open
// order.
auto GetTarget(const accelerator_ledger& ledger)
    -> const std::vector<resident>& {
  return ledger.get_open() ? ledger.get_open()->target : ledger.get_confirmed();
}

auto AddResident(const accelerator_ledger& ledger, const resident& item)
    -> std::vector<resident> {
  auto target = ledger.get_confirmed();
  target.push_back(item);
  return target;
}

auto FindByKey(const std::vector<resident>& residents, const replica_key& key)
    -> const resident* {
  const auto found =
      std::find_if(residents.begin(), residents.end(),
                   [&key](const resident& item) { return item.key == key; });
  return found == residents.end() ? nullptr : &*found;
}

}  // namespace

struct placement::desired_model {
  const model_spec* spec = nullptr;
  resident desired;
  double demand = 0;
  // Replicas of the desired version that are resident under every outcome.
  std::size_t serving = 0;
  // Replicas of the desired version, including open loads.
  std::size_t planned = 0;
  std::set<data_centre_name> serving_data_centres;
  std::set<data_centre_name> planned_data_centres;

  auto GetDesiredReplicas(int tier, double replica_rate) const -> std::size_t {
    const auto declared = std::max<std::size_t>(1, spec->min_replicas);
    switch (tier) {
      case kTierFirstReplica:
        return 1;
      case kTierDeclared:
        return declared;
      case kTierSpread:
        return std::max<std::size_t>(declared, 2);
      default:
        break;
    }
    if (replica_rate <= 0) {
      return std::max<std::size_t>(declared, 2);
    }
    const auto by_demand =
        static_cast<std::size_t>(std::ceil(demand / replica_rate));
    return std::max<std::size_t>({declared, 2, by_demand});
  }
};

struct placement::candidate_accelerator {
  const backend_state* backend = nullptr;
  std::size_t accelerator = 0;
  std::pair<bool, std::uint64_t> score;
};

struct placement::planning_round {
  const control_data& data;
  const model_demand& demand;
  placement_plan plan{};
  std::vector<desired_model> models{};  // highest priority first
  std::map<replica_key, std::size_t> by_key{};
  // Accelerators that already have an order, open or planned.
  std::set<std::pair<backend_name, std::size_t>> busy{};
  std::size_t loads_left = 0;

  auto Find(const replica_key& key) -> desired_model* {
    const auto found = by_key.find(key);
    return found == by_key.end() ? nullptr : &models[found->second];
  }

  auto IsModelDeclared(const model_name& name) const -> bool {
    return std::any_of(models.begin(), models.end(),
                       [&name](const desired_model& model) {
                         return model.spec->key.model == name;
                       });
  }

  auto AddOrder(const backend_name& backend,
                std::size_t accelerator,
                std::vector<resident> target,
                std::string reason) -> void {
    busy.insert({backend, accelerator});
    plan.orders.push_back(
        {backend, accelerator_index(static_cast<std::uint32_t>(accelerator)),
         std::move(target), std::move(reason)});
  }
};

placement::placement(placement_options options) : options_(options) {}

auto placement::CollectModels(planning_round& round) const -> void {
  for (const auto& [name, entry] : round.data.records) {
    if (entry.deleted || !entry.has_effective) {
      continue;
    }
    for (const auto& spec : entry.effective.models) {
      auto model = desired_model();
      model.spec = &spec;
      model.desired = MakeResident(spec);
      const auto demand = round.demand.find(spec.key.model);
      model.demand = demand == round.demand.end() ? 0 : demand->second;
      round.models.push_back(std::move(model));
    }
  }
  std::stable_sort(round.models.begin(), round.models.end(),
                   [](const desired_model& a, const desired_model& b) {
                     if (a.spec->priority != b.spec->priority) {
                       return a.spec->priority < b.spec->priority;
                     }
                     // Large models first, since they are the hardest to fit.
                     return a.desired.memory > b.desired.memory;
                   });
  for (auto i = std::size_t{0}; i < round.models.size(); ++i) {
    round.by_key.emplace(round.models[i].spec->key, i);
  }
}

auto placement::CollectReplicas(planning_round& round) const -> void {
  auto open_loads = std::size_t{0};
  for (const auto& [name, backend] : round.data.backends) {
    for (auto i = std::size_t{0}; i < backend.accelerators.size(); ++i) {
      const auto& ledger = backend.accelerators[i];
      if (ledger.get_open()) {
        round.busy.insert({name, i});
        for (const auto& item : ledger.get_open()->target) {
          open_loads +=
              FindByKey(ledger.get_confirmed(), item.key) == nullptr ? 1 : 0;
        }
      }
      if (!backend.is_usable()) {
        continue;
      }
      for (const auto& item : ledger.GetGuaranteed()) {
        if (auto* model = round.Find(item.key)) {
          ++model->serving;
          model->serving_data_centres.insert(backend.info.data_centre);
        }
      }
      for (const auto& item : GetTarget(ledger)) {
        if (auto* model = round.Find(item.key)) {
          ++model->planned;
          model->planned_data_centres.insert(backend.info.data_centre);
        }
      }
    }
  }
  const auto at_once = options_.loads_at_once;
  const auto by_concurrency = at_once > open_loads ? at_once - open_loads : 0;
  round.loads_left = std::min(round.loads_left, by_concurrency);
}

auto placement::FindCandidate(const planning_round& round,
                              const desired_model& model) const
    -> std::optional<candidate_accelerator> {
  auto best = std::optional<candidate_accelerator>();
  for (const auto& [name, backend] : round.data.backends) {
    if (!backend.is_usable()) {
      continue;
    }
    const auto is_new_data_centre =
        !model.planned_data_centres.contains(backend.info.data_centre);
    for (auto i = std::size_t{0}; i < backend.accelerators.size(); ++i) {
      const auto& ledger = backend.accelerators[i];
      if (round.busy.contains({name, i}) ||
          FindByKey(ledger.get_confirmed(), model.desired.key) != nullptr) {
        continue;
      }
      // A new data centre takes precedence over more headroom.
      const auto score =
          std::pair(is_new_data_centre, ledger.GetHeadroom().get());
      if ((!best || score > best->score) &&
          ledger.Fits(AddResident(ledger, model.desired))) {
        best = candidate_accelerator{&backend, i, score};
      }
    }
  }
  return best;
}

auto placement::PlanTier(planning_round& round, int tier) const -> void {
  for (auto& model : round.models) {
    while (round.loads_left > 0 &&
           model.planned <
               model.GetDesiredReplicas(tier, options_.replica_rate)) {
      const auto found = FindCandidate(round, model);
      if (!found) {
        // Capacity is freed for declared replicas only, not for additional
        // ones.
        if (tier <= kTierDeclared) {
          FreeCapacity(round, model);
        }
        break;
      }
      const auto& info = found->backend->info;
      const auto& ledger = found->backend->accelerators[found->accelerator];
      round.AddOrder(info.name, found->accelerator,
                     AddResident(ledger, model.desired),
                     "load " + model.desired.key.model.get() + "@" +
                         model.desired.key.version.get());
      ++round.plan.moves.loads;
      ++model.planned;
      model.planned_data_centres.insert(info.data_centre);
      --round.loads_left;
    }
  }
}

auto placement::FreeCapacity(planning_round& round,
                             const desired_model& model) const -> void {
  for (const auto& [name, backend] : round.data.backends) {
    if (!backend.is_usable()) {
      continue;
    }
    for (auto i = std::size_t{0}; i < backend.accelerators.size(); ++i) {
      const auto& ledger = backend.accelerators[i];
      if (round.busy.contains({name, i})) {
        continue;
      }
      auto kept = ledger.get_confirmed();
      auto dropped = std::vector<replica_key>();
      const auto fits = [&kept, &model, &ledger]() -> bool {
        return SumMemory(kept).get() + SumMemory({model.desired}).get() <=
               ledger.get_capacity().get();
      };
      for (const auto& item : ledger.get_confirmed()) {
        if (fits()) {
          break;
        }
        auto* other = round.Find(item.key);
        const auto is_surplus =
            other != nullptr && item.key.model != model.desired.key.model &&
            other->serving >
                std::max<std::size_t>(1, other->spec->min_replicas);
        if (is_surplus) {
          std::erase_if(kept, [&item](const resident& candidate) {
            return candidate.key == item.key;
          });
          dropped.push_back(item.key);
        }
      }
      if (dropped.empty() || !fits()) {
        continue;
      }
      round.plan.moves.unloads += dropped.size();
      for (const auto& key : dropped) {
        auto* other = round.Find(key);
        --other->serving;
        --other->planned;
      }
      round.AddOrder(name, i, std::move(kept),
                     "make room for " + model.desired.key.model.get());
      return;
    }
  }
}

auto placement::PlanLoads(planning_round& round) const -> void {
  for (auto tier = 0; tier < kTierCount; ++tier) {
    PlanTier(round, tier);
  }
}

// Updates replicas whose adapters differ from the record. One order loads the
// new adapters and unloads the old ones; the ledger counts both until it
// completes.
auto placement::PlanAdapterChanges(planning_round& round) const -> void {
  for (const auto& [name, backend] : round.data.backends) {
    if (!backend.is_usable()) {
      continue;
    }
    for (auto i = std::size_t{0}; i < backend.accelerators.size(); ++i) {
      const auto& ledger = backend.accelerators[i];
      if (round.busy.contains({name, i})) {
        continue;
      }
      auto target = ledger.get_confirmed();
      auto changed = false;
      for (auto& item : target) {
        const auto* model = round.Find(item.key);
        if (model != nullptr && !HaveSameResidents({item}, {model->desired})) {
          item = model->desired;
          changed = true;
        }
      }
      if (changed && round.loads_left > 0 && ledger.Fits(target)) {
        --round.loads_left;
        round.AddOrder(name, i, std::move(target), "change adapters");
      }
    }
  }
}

auto placement::PlanUnloads(planning_round& round) const -> void {
  // By declared model: true when enough replicas of its desired version serve
  // for superseded versions and replicas on leaving servers to be unloaded.
  auto is_replaced = std::map<model_name, bool>();
  for (const auto& model : round.models) {
    is_replaced[model.spec->key.model] =
        model.serving >= std::max<std::size_t>(1, model.spec->min_replicas);
  }
  for (const auto& [name, backend] : round.data.backends) {
    if (backend.suspected || backend.forgotten) {
      continue;
    }
    for (auto i = std::size_t{0}; i < backend.accelerators.size(); ++i) {
      const auto& ledger = backend.accelerators[i];
      if (round.busy.contains({name, i})) {
        continue;
      }
      const auto is_leaving = backend.is_leaving();
      auto kept = ledger.get_confirmed();
      std::erase_if(kept, [&round, &is_replaced, is_leaving](const auto& item) {
        const auto declared = round.IsModelDeclared(item.key.model);
        const auto current = round.Find(item.key) != nullptr;
        if (!declared) {
          return true;
        }
        const auto is_superseded = !current || is_leaving;
        return is_superseded && is_replaced.at(item.key.model);
      });
      const auto removed = ledger.get_confirmed().size() - kept.size();
      if (removed > 0) {
        (is_leaving ? round.plan.moves.shifts : round.plan.moves.unloads) +=
            removed;
        round.AddOrder(name, i, std::move(kept), "unload what is not wanted");
      }
    }
  }
}

auto placement::ReportRisks(planning_round& round) const -> void {
  for (const auto& model : round.models) {
    const auto& name = model.spec->key.model;
    const auto declared = std::max<std::size_t>(1, model.spec->min_replicas);
    if (model.serving == 0) {
      round.plan.risks.push_back({name, "no replica serves the version"});
    } else if (model.serving < declared) {
      round.plan.risks.push_back({name, "fewer replicas than declared"});
    } else if (model.serving < 2) {
      round.plan.risks.push_back(
          {name, "one replica: losing its backend server loses the model"});
    } else if (model.serving_data_centres.size() <
               std::max<std::size_t>(2, model.spec->min_data_centres)) {
      round.plan.risks.push_back(
          {name, "too few data centres: losing one may lose the model"});
    }
  }
}

auto placement::Plan(const control_data& data,
                     const model_demand& demand,
                     std::size_t load_tokens) const -> placement_plan {
  auto round = planning_round{.data = data, .demand = demand};
  round.loads_left = load_tokens;
  CollectModels(round);
  CollectReplicas(round);
  PlanUnloads(round);
  PlanLoads(round);
  PlanAdapterChanges(round);
  ReportRisks(round);
  return std::move(round.plan);
}

}  // namespace ebony
