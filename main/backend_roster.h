#ifndef EBONY_MAIN_BACKEND_ROSTER_H_
#define EBONY_MAIN_BACKEND_ROSTER_H_

#include <map>
#include <string>
#include <vector>

#include "core/domain.h"
#include "schema/link.pb.h"

namespace ebony {

// The backend servers that announce themselves to this entry, and what of that
// the control leader has yet to hear. Only changes are reported; a new leader
// hears everything.
class backend_roster {
  struct heard_backend {
    backend_announcement state;
    mono_time heard;
    bool is_lost = false;
    bool is_dirty = true;
    std::uint64_t reported_in = 0;  // sequence of the poll
  };

  duration timeout_;
  std::map<backend_name, heard_backend> backends_;

 public:
  // A backend server that is silent for `timeout` is reported as lost.
  explicit backend_roster(duration timeout);

  // Throws ebony_error when the announcement is older than the last one.
  auto OnAnnouncement(const backend_announcement& state, mono_time now) -> void;
  auto FindLost(mono_time now) -> void;

  auto FillPoll(schema::entry_poll& poll, mono_time now) -> void;
  // The leader has processed the poll of this sequence.
  auto OnPollAnswered(std::uint64_t sequence) -> void;
  auto OnNewLeader() -> void;
  // Adds up to `limit` live backend servers' loads.
  auto FillGossip(schema::backend_gossip& gossip, std::size_t limit) -> void;
};

}  // namespace ebony

#endif  // EBONY_MAIN_BACKEND_ROSTER_H_
