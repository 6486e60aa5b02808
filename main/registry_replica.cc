#include "main/registry_replica.h"

#include "codec/site_codec.h"

namespace ebony {

registry_replica::registry_replica() : registry_(backend_registry_options()) {}

auto registry_replica::FillRequest(schema::sync_request& request) const
    -> void {
  request.set_roster_source(source_);
  request.set_have_roster(revision_);
}

auto registry_replica::ApplyAnswer(const schema::sync_answer& answer,
                                   mono_time now,
                                   const change_hook& on_change) -> bool {
  const auto is_new_source = answer.roster_source() != source_;
  if (is_new_source) {
    source_ = answer.roster_source();
    index_.Clear();
    // Servers announce themselves to the new leader only from now on, so
    // existing records must not expire before it has heard from them.
    registry_.Refresh(now);
  }
  revision_ = answer.roster_revision();
  for (const auto& row : answer.backends()) {
    const auto record = ToDomain(row, now);
    index_.Insert(row.number(), record.status.id);
    if (registry_.Merge(record, now)) {
      on_change(record);
    }
  }
  return is_new_source;
}

}  // namespace ebony
