#include "main/registry_replica.h"

#include <utility>

#include "codec/site_codec.h"

namespace ebony {

registry_replica::registry_replica() : registry_(options_) {}

auto registry_replica::FillRequest(schema::sync_request& request) const
    -> void {
  request.set_roster_source(source_);
  request.set_have_roster(revision_);
  for (const auto& [id, record] : registry_.get_records()) {
    const auto number = index_.GetNumber(id);
    if (record.has_said_leaving && !record.has_left && number != 0 &&
        !listed_leaving_.contains(id)) {
      auto* row = request.add_leaving();
      row->set_number(number);
      row->set_born_ms(record.status.start_time_ms);
    }
  }
}

auto registry_replica::ObserveLeaving(const backend_name& id,
                                      std::uint64_t start_time_ms) -> bool {
  return registry_.ObserveLeaving(id, start_time_ms);
}

auto registry_replica::GetListedLimit(const backend_name& id) const
    -> request_limit {
  const auto found = listed_limits_.find(id);
  return found == listed_limits_.end() ? request_limit() : found->second;
}

auto registry_replica::ListUnlistedLimits() const
    -> std::vector<permit_report> {
  auto reports = std::vector<permit_report>();
  for (const auto& [id, record] : registry_.get_records()) {
    if (!record.has_left && index_.GetNumber(id) != 0 &&
        IsNewsOfLimit(record.limit, GetListedLimit(id))) {
      auto report = permit_report();
      report.id = id;
      report.start_time_ms = record.status.start_time_ms;
      report.news = record.limit;
      reports.push_back(std::move(report));
    }
  }
  return reports;
}

auto registry_replica::ApplyAnswer(const schema::sync_answer& answer,
                                   mono_time now,
                                   const change_hook& on_change) -> bool {
  const auto is_new_source = answer.roster_source() != source_;
  if (is_new_source) {
    source_ = answer.roster_source();
    index_.Clear();
    listed_leaving_.clear();
    listed_limits_.clear();
    source_since_ = now;
    // Servers announce themselves to the new leader only from now on, so
    // existing records must not expire before it has heard from them.
    registry_.Refresh(now);
  }
  revision_ = answer.roster_revision();
  for (const auto& row : answer.backends()) {
    const auto record = ToDomain(row, now);
    index_.Insert(row.number(), record.status.id);
    if (record.has_said_leaving) {
      listed_leaving_.insert(record.status.id);
    } else {
      listed_leaving_.erase(record.status.id);
    }
    if (WasNamed(record.limit)) {
      listed_limits_[record.status.id] = record.limit;
    } else {
      listed_limits_.erase(record.status.id);
    }
    if (registry_.Merge(record, now)) {
      on_change(*registry_.Find(record.status.id));
    }
  }
  ExpireUnlisted(now, on_change);
  return is_new_source;
}

auto registry_replica::ExpireUnlisted(mono_time now,
                                      const change_hook& on_change) -> void {
  const auto age = now - source_since_;
  if (age <= options_.suspect_after) {
    return;
  }
  auto unlisted = std::vector<backend_name>();
  for (const auto& [id, record] : registry_.get_records()) {
    if (index_.GetNumber(id) == 0) {
      unlisted.push_back(id);
    }
  }
  for (const auto& id : unlisted) {
    if (age > options_.remove_after) {
      registry_.Remove(id);
    } else if (registry_.Suspect(id, now)) {
      on_change(*registry_.Find(id));
    }
  }
}

}  // namespace ebony
