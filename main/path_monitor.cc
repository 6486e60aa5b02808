#include "main/path_monitor.h"

#include <algorithm>
#include <utility>

namespace ebony {

namespace {

constexpr duration kTickInterval = std::chrono::milliseconds(50);
// A server that takes longer counts as unanswered.
constexpr duration kCheckTimeLimit = std::chrono::milliseconds(250);
// While attempts are under way, silence of all servers for longer is a doubt.
constexpr duration kMaxSilence = std::chrono::milliseconds(250);
constexpr duration kSilenceCheckInterval = std::chrono::milliseconds(500);

auto ToPathAnswer(connection_state state) -> path_answer {
  switch (state) {
    case connection_state::accepted:
      return path_answer::answered;
    case connection_state::refused:
    case connection_state::cut_off:
      return path_answer::refused;
    case connection_state::unknown:
      break;
  }
  return path_answer::unanswered;
}

}  // namespace

path_monitor::path_monitor(event_loop& loop,
                           event_log& log,
                           metrics& counters,
                           const backend_registry& registry,
                           hooks actions)
    : loop_(loop),
      log_(log),
      metrics_(counters),
      registry_(registry),
      hooks_(std::move(actions)),
      last_bytes_(loop.get_now()) {}

auto path_monitor::ChooseServers(const std::set<backend_name>& except) const
    -> std::vector<const backend_record*> {
  auto servers = std::vector<const backend_record*>();
  for (const auto& [id, record] : registry_.get_records()) {
    const auto is_alive =
        !record.has_left && !record.is_suspected && !record.status.is_leaving;
    if (is_alive && !except.contains(id)) {
      servers.push_back(&record);
    }
  }
  const auto first_busy = std::partition(
      servers.begin(), servers.end(), [this](const backend_record* record) {
        return hooks_.answers_when_busy(record->status);
      });
  const auto preferred = static_cast<std::size_t>(first_busy - servers.begin());
  const auto count = std::min(servers.size(), server_paths::kRoundSize);
  for (auto i = std::size_t{0}; i < count; ++i) {
    const auto end = i < preferred ? preferred : servers.size();
    const auto other = i + hooks_.random(end - i);
    std::swap(servers[i], servers[other]);
  }
  servers.resize(count);
  return servers;
}

auto path_monitor::Probe(const backend_record& record,
                         std::function<void(path_answer)> on_done) -> void {
  const auto bytes = hooks_.make_probe(record.status);
  if (bytes.empty()) {
    Connect(record, std::move(on_done));
    return;
  }
  metrics_.Count("ebony_path_probes_total");
  CheckAnswer(loop_, record.status.address, bytes, kCheckTimeLimit,
              [on_done = std::move(on_done)](connection_state state) {
                on_done(ToPathAnswer(state));
              });
}

auto path_monitor::Connect(const backend_record& record,
                           std::function<void(path_answer)> on_done) -> void {
  metrics_.Count("ebony_path_checks_total");
  CheckConnection(loop_, record.status.address, kCheckTimeLimit,
                  [on_done = std::move(on_done)](connection_state state) {
                    on_done(ToPathAnswer(state));
                  });
}

auto path_monitor::RunRound() -> void {
  const auto now = loop_.get_now();
  if (!paths_.IsRoundDue(now)) {
    return;
  }
  const auto servers = ChooseServers({});
  auto names = std::vector<backend_name>();
  for (const auto* record : servers) {
    names.push_back(record->status.id);
  }
  paths_.StartRound(names, now);
  for (const auto* record : servers) {
    Probe(*record, [this, id = record->status.id](path_answer answer) {
      const auto was_in_doubt = is_in_doubt();
      paths_.OnAnswer(id, answer, loop_.get_now());
      ReportState();
      if (was_in_doubt && paths_.get_state() == path_state::open) {
        hooks_.on_confirmed();
      }
    });
  }
  ReportState();
}

auto path_monitor::ReportState() -> void {
  const auto is_closed = paths_.is_closed();
  if (is_closed == (known_state_ == path_state::closed)) {
    return;
  }
  const auto state = is_closed ? path_state::closed : paths_.get_state();
  if (state == path_state::in_doubt) {
    return;
  }
  known_state_ = state;
  metrics_.Set("ebony_paths_closed", is_closed ? 1 : 0);
  log_.Write(event_category::state, "server_paths",
             {{"state", std::string(GetPathStateText(state))},
              {"hanging", is_closed && is_hanging() ? "yes" : "no"},
              {"silent_ms", duration(loop_.get_now() - last_bytes_)},
              {"attempts", static_cast<std::int64_t>(attempts_)}});
  is_closed ? hooks_.on_closed() : hooks_.on_opened();
}

auto path_monitor::Tick() -> void {
  const auto now = loop_.get_now();
  const auto quiet_since = std::max(last_bytes_, attempts_since_);
  // One slow server is silent again and again.
  const auto is_silent = attempts_ > 0 && now - quiet_since > kMaxSilence &&
                         now - silence_checked_ > kSilenceCheckInterval;
  // After a start, nothing else would tell before the first request waits.
  const auto is_first =
      !has_tried_ && !registry_.get_records().empty() && hooks_.has_peers();
  if (is_silent || is_first) {
    has_tried_ = true;
    silence_checked_ = now;
    paths_.OnDoubt();
  }
  RunRound();
}

auto path_monitor::Start() -> void {
  RepeatEvery(loop_, kTickInterval, [this] { Tick(); });
}

auto path_monitor::OnAttemptStarted() -> void {
  if (attempts_++ == 0) {
    attempts_since_ = loop_.get_now();
  }
}

auto path_monitor::OnAttemptEnded() -> void {
  --attempts_;
}

auto path_monitor::OnAnswered() -> void {
  paths_.OnAnswered(loop_.get_now());
  ReportState();
}

auto path_monitor::OnServerFailed(const backend_name& server) -> void {
  paths_.OnServerFailed(server, loop_.get_now());
  RunRound();
}

auto path_monitor::ConfirmWithOthers(const std::set<backend_name>& except,
                                     confirm_callback on_done) -> void {
  struct round {
    std::size_t pending = 0;
    confirm_callback on_done;
  };
  if (is_closed()) {
    on_done(false);
    return;
  }
  const auto servers = ChooseServers(except);
  if (servers.empty()) {
    on_done(true);
    return;
  }
  const auto shared =
      std::make_shared<round>(round{servers.size(), std::move(on_done)});
  for (const auto* record : servers) {
    Connect(*record, [this, shared](path_answer answer) {
      --shared->pending;
      const auto is_accepted = answer == path_answer::answered;
      if (!shared->on_done || (!is_accepted && shared->pending > 0)) {
        return;
      }
      if (!is_accepted) {
        paths_.OnDoubt();
        RunRound();
      }
      std::exchange(shared->on_done, nullptr)(is_accepted);
    });
  }
}

}  // namespace ebony
