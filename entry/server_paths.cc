#include "entry/server_paths.h"

namespace ebony {

auto GetPathStateText(path_state state) -> std::string_view {
  switch (state) {
    case path_state::open:
      return "open";
    case path_state::in_doubt:
      return "in_doubt";
    case path_state::closed:
      break;
  }
  return "closed";
}

auto server_paths::OnServerFailed(const backend_name& server, mono_time now)
    -> void {
  failed_.insert(server);
  const auto is_confirmed =
      confirmed_at_ != mono_time() && now - confirmed_at_ < kConfirmedTime;
  if (!is_confirmed || failed_.size() > 1) {
    OnDoubt();
  }
}

auto server_paths::OnDoubt() -> void {
  if (state_ == path_state::open) {
    state_ = path_state::in_doubt;
  }
}

auto server_paths::OnAnswered(mono_time now) -> void {
  confirmed_at_ = now;
  state_ = path_state::open;
  has_round_ = false;
  pending_.clear();
  failed_.clear();
}

auto server_paths::IsRoundDue(mono_time now) const -> bool {
  if (has_round_ || state_ == path_state::open) {
    return false;
  }
  return state_ == path_state::in_doubt || now - round_start_ >= kRetryInterval;
}

auto server_paths::StartRound(const std::vector<backend_name>& servers,
                              mono_time now) -> void {
  round_start_ = now;
  if (servers.empty()) {
    state_ = path_state::open;
    return;
  }
  has_round_ = true;
  unanswered_ = 0;
  refused_ = 0;
  pending_ = {servers.begin(), servers.end()};
}

auto server_paths::OnAnswer(const backend_name& server,
                            path_answer answer,
                            mono_time now) -> void {
  if (answer == path_answer::answered) {
    OnAnswered(now);
    return;
  }
  if (!has_round_ || pending_.erase(server) == 0) {
    return;  // of a round that is decided
  }
  (answer == path_answer::refused ? refused_ : unanswered_) += 1;
  if (pending_.empty()) {
    EndRound();
  }
}

auto server_paths::EndRound() -> void {
  has_round_ = false;
  state_ = path_state::closed;
  is_hanging_ = unanswered_ >= refused_;
}

}  // namespace ebony
