#ifndef EBONY_MAIN_RAFT_NODE_H_
#define EBONY_MAIN_RAFT_NODE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/group_planner.h"
#include "consensus/raft.h"
#include "core/metrics.h"
#include "core/site_settings.h"
#include "drivers/disk_store.h"
#include "drivers/event_log.h"
#include "drivers/event_loop.h"
#include "drivers/http_pool.h"
#include "schema/site.pb.h"

namespace ebony {

// What is replicated, as the quorum node needs it.
struct replicated_state {
  std::function<void(const log_entry&)> apply;
  std::function<std::string()> encode;
  std::function<void(const std::string&)> restore;
};

// One member of the control group: Raft, its disk, and the posts between
// members. The group makes itself: at the very first start the seeds are the
// voters; everybody else, and every new disk, asks to join.
class raft_node {
  struct peer {
    std::deque<raft_message> queue;
    std::unique_ptr<http_call> call;
    timer_id timeout;
  };
  struct pending_read {
    std::uint64_t round = 0;
    mono_time until;
    std::function<void(bool)> done;
  };

  const site_settings& settings_;
  event_loop& loop_;
  http_pool& pool_;
  event_log& log_;
  metrics& metrics_;
  replicated_state state_;
  disk_store disk_;
  node_id self_;
  std::unique_ptr<raft> raft_;
  // Taken from Raft, not yet on the disk: nothing else goes on before it is.
  std::optional<raft_ready> unwritten_;
  mono_time next_write_;
  std::map<node_id, peer> peers_;
  std::map<node_id, mono_time> joiners_;
  std::vector<pending_read> reads_;
  std::vector<host_port> known_links_;
  std::size_t join_turn_ = 0;
  mono_time next_join_;
  bool was_ready_ = false;
  node_id logged_leader_;
  bool disk_failed_ = false;
  log_index applied_;

  auto MakeIdentity() -> disk_identity;
  auto GetLink(const node_id& node) const -> host_port;
  // Persists, sends and applies. Messages to `answer_to` are returned.
  auto RunReady(const node_id& answer_to) -> std::vector<raft_message>;
  auto WriteReady() -> bool;
  auto Apply(const std::vector<log_entry>& entries) -> void;
  auto Enqueue(raft_message message) -> void;
  auto SendNext(const node_id& to) -> void;
  auto OnPeerAnswer(const node_id& from, const std::string& body) -> void;
  auto OnPeerFailed(const node_id& to) -> void;
  auto FinishReads() -> void;
  auto MaybeCompact() -> void;
  auto MaybeJoin() -> void;
  auto MaybeChangeGroup() -> void;
  auto LogLeadership() -> void;

 public:
  raft_node(const site_settings& settings,
            event_loop& loop,
            http_pool& pool,
            event_log& log,
            metrics& counters,
            replicated_state state);

  // Reads the disk, or makes a new identity on an empty one. Throws
  // ebony_error while the disk does not work.
  auto Open() -> void;
  auto Tick() -> void;

  // Calls from other members; nothing while the disk does not work.
  auto OnRaftCall(const std::string& body) -> std::optional<std::string>;
  auto OnJoinCall(const std::string& body) -> std::string;

  // Proposes a command. Returns nothing when this is not the leader.
  auto Propose(const std::string& payload) -> std::optional<log_index>;
  // Calls `done` with true once this was confirmed as the leader after the
  // call, with false when it cannot be confirmed in time.
  auto ConfirmLeadership(duration limit, std::function<void(bool)> done)
      -> void;

  auto is_leader() const -> bool;
  auto get_term() const -> term_number;
  // Address of the leader's links, or empty.
  auto GetLeaderLink() const -> host_port;
  // Operator address of the leader, or empty.
  auto GetLeaderOperator() const -> host_port;
  // Links of all members, this one included.
  auto GetLinks() const -> std::vector<host_port>;
  auto get_self_link() const -> host_port { return GetLink(self_); }
};

}  // namespace ebony

#endif  // EBONY_MAIN_RAFT_NODE_H_
