#ifndef EBONY_ENTRY_SERVER_PATHS_H_
#define EBONY_ENTRY_SERVER_PATHS_H_

#include <cstddef>
#include <set>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace ebony {

// What became of an attempt to reach a server.
enum class path_answer {
  answered,    // the server has sent a byte
  refused,     // or the connection ended before one came
  unanswered,  // nothing came back within the time limit
};

enum class path_state {
  open,
  in_doubt,  // servers are being tried to find out
  closed,    // no server answered
};

// Returns the name used in log lines.
auto GetPathStateText(path_state state) -> std::string_view;

// Decides whether this VM reaches the backend servers at all, by trying several
// servers at once: one server that does not answer may have crashed, but
// several that do not while the coordinators list them as alive mean that this
// VM is partitioned from them. Connections that live on say nothing, since new
// ones may be refused all the same. Nor does a new connection on which no byte
// has come back: something on the way may accept it in the server's place.
class server_paths {
  path_state state_ = path_state::open;
  bool is_hanging_ = false;         // while closed: nothing comes back
  std::set<backend_name> pending_;  // of the present round
  std::size_t unanswered_ = 0;      // in the present round
  std::size_t refused_ = 0;
  mono_time confirmed_at_;         // when a new connection was last answered
  std::set<backend_name> failed_;  // since then
  mono_time round_start_;
  bool has_round_ = false;

  auto EndRound() -> void;

 public:
  // Servers that are tried in a round.
  static constexpr std::size_t kRoundSize = 3;
  // Within this time after a server answered on a new connection, one server
  // that fails is no doubt.
  static constexpr duration kConfirmedTime = std::chrono::milliseconds(500);
  // Time between the starts of rounds while the paths are closed.
  static constexpr duration kRetryInterval = std::chrono::milliseconds(300);

  // A connection to a server failed or broke, or it has been silent.
  auto OnServerFailed(const backend_name& server, mono_time now) -> void;
  // Several servers are silent, or could not be connected to.
  auto OnDoubt() -> void;
  // A server answered on a new connection.
  auto OnAnswered(mono_time now) -> void;
  // Returns true if a round should start now.
  auto IsRoundDue(mono_time now) const -> bool;
  // A round starts with these servers. Without any, nothing is decided.
  auto StartRound(const std::vector<backend_name>& servers, mono_time now)
      -> void;
  auto OnAnswer(const backend_name& server, path_answer answer, mono_time now)
      -> void;

  auto get_state() const -> path_state { return state_; }
  auto is_closed() const -> bool { return state_ == path_state::closed; }
  // While closed: true if connections under way get no answer either.
  auto is_hanging() const -> bool { return is_hanging_; }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_SERVER_PATHS_H_
