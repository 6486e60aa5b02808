#ifndef EBONY_MAIN_BACKEND_ANNOUNCEMENTS_H_
#define EBONY_MAIN_BACKEND_ANNOUNCEMENTS_H_

#include <map>
#include <string>
#include <vector>

#include "core/domain.h"
#include "schema/link.pb.h"

namespace ebony {

// Backend servers that announce themselves to this entry, and the changes that
// still have to be reported to the control leader. Only changes are reported;
// a new leader receives the full state.
class backend_announcements {
  struct announced_backend {
    backend_announcement state;
    mono_time last_seen;
    bool is_lost = false;
    bool needs_report = true;
    // Sequence of the first poll that carried the change; 0 before it is sent.
    std::uint64_t reported_in_poll = 0;
  };

  duration timeout_;
  std::map<backend_name, announced_backend> backends_;

 public:
  // A backend server without an announcement for `timeout` is reported as lost.
  explicit backend_announcements(duration timeout);

  // Records an announcement. Throws ebony_error when it is older than the last
  // one from the same backend server.
  auto OnAnnouncement(const backend_announcement& state, mono_time now) -> void;
  // Marks backend servers whose timeout has expired as lost, and drops those
  // that were reported as lost long ago.
  auto MarkLost(mono_time now) -> void;

  // Adds all changes that the leader has not acknowledged to `poll`.
  auto AddReports(schema::entry_poll& poll, mono_time now) -> void;
  // Called when the leader has processed the poll with this sequence.
  auto OnPollAcknowledged(std::uint64_t sequence) -> void;
  // Schedules a report of every backend server.
  auto OnNewLeader() -> void;
  // Adds the loads of up to `limit` live backend servers.
  auto AddLoads(schema::backend_gossip& gossip, std::size_t limit) -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_BACKEND_ANNOUNCEMENTS_H_
