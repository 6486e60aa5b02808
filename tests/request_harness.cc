#include "tests/request_harness.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "core/hashing.h"
#include "tests/test_support.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kTick = milliseconds(10);
constexpr auto kLatency = milliseconds(2);
constexpr auto kLate = milliseconds(700);
constexpr auto kVeryLate = milliseconds(6000);
constexpr auto kTokenTime = milliseconds(10);
constexpr auto kTimeLimit = milliseconds(3000);
constexpr auto kKeyLifetime = milliseconds(4000);
constexpr auto kEngineDown = milliseconds(1000);
constexpr auto kEntryDown = milliseconds(500);
constexpr auto kStall = milliseconds(5000);
constexpr auto kResendPause = milliseconds(150);
constexpr auto kGrace = milliseconds(50);
constexpr std::uint64_t kEvents = 5;
constexpr int kMaxTries = 12;
constexpr std::size_t kEntries = 3;
constexpr std::size_t kEngines = 3;
constexpr int kStatusOk = 200;
constexpr int kStatusError = 500;

[[noreturn]] auto Breach(const std::string& what) -> void {
  throw std::logic_error(what);
}

auto MakeClaimOptions() -> claim_table_options {
  auto options = claim_table_options();
  options.key_lifetime = kKeyLifetime;
  return options;
}

auto GetSite(std::size_t index) -> std::string {
  return "dc" + std::to_string(index + 1);
}

}  // namespace

request_harness::request_harness(std::uint64_t seed)
    : random_(seed), now_(At(0)) {
  auto update = routing_update();
  update.to = config_version(1);
  update.records.push_back({record_name("r"), {MakeModel("m", 10)}, false});
  for (auto i = std::size_t{0}; i < kEngines; ++i) {
    auto item = engine();
    item.route.name = backend_name("b" + std::to_string(i));
    item.route.address = host_port("b" + std::to_string(i));
    item.route.data_centre = data_centre_name(GetSite(i));
    item.route.run = incarnation(1);
    item.route.slots = 4;
    item.route.replicas = {{{model_name("m"), version_name("1")}, {}}};
    update.backends.push_back(item.route);
    engines_.push_back(std::move(item));
  }
  table_.Apply(update);
  for (auto i = std::size_t{0}; i < kEntries; ++i) {
    auto item = entry();
    item.name = vm_name("e" + std::to_string(i));
    entries_.push_back(std::move(item));
  }
  for (auto i = std::size_t{0}; i < kEntries; ++i) {
    StartEntry(i, now_ - 10 * kKeyLifetime);
  }
}

auto request_harness::StartEntry(std::size_t index, mono_time claims_since)
    -> void {
  auto& item = entries_[index];
  item.run = next_run_++;
  const auto random = [this](std::uint64_t bound) { return random_() % bound; };
  auto route_options = router_options();
  route_options.local_data_centre = data_centre_name(GetSite(index));
  item.choice = std::make_unique<router>(route_options, random);
  item.table = std::make_unique<claim_table>(MakeClaimOptions(), claims_since);
  auto peers = std::vector<claim_peer>();
  for (auto i = std::size_t{0}; i < kEntries; ++i) {
    peers.push_back({entries_[i].name, data_centre_name(GetSite(i))});
  }
  item.book = std::make_unique<claim_coordinator>(MakeClaimOptions(), item.name,
                                                  incarnation(item.run), peers);
  auto options = coordinator_options();
  options.stall = milliseconds(400);
  options.entry_count = kEntries;
  item.coordinator = std::make_unique<request_coordinator>(
      options, table_, *item.choice, *item.book, random,
      [](const std::string&) {});
}

auto request_harness::StopEntry(std::size_t index) -> void {
  auto& item = entries_[index];
  if (!item.coordinator) {
    return;
  }
  item.coordinator.reset();
  item.book.reset();
  item.table.reset();
  item.choice.reset();
  item.down_until = now_ + kEntryDown;
  // The callers see their connections break, and resend what they may.
  for (const auto& [id, open] : item.sessions) {
    auto& call = calls_[open.call];
    if (call.kind == call_kind::keyed) {
      call.resend_at = now_ + kResendPause;
    }
  }
  item.sessions.clear();
}

auto request_harness::Send(flight item, duration latency) -> void {
  item.arrives = now_ + latency;
  item.number = next_number_++;
  network_.push_back(std::move(item));
}

auto request_harness::TakeDue() -> std::optional<flight> {
  const auto first = std::min_element(
      network_.begin(), network_.end(), [](const auto& a, const auto& b) {
        return std::pair(a.arrives, a.number) < std::pair(b.arrives, b.number);
      });
  if (first == network_.end() || first->arrives > now_) {
    return std::nullopt;
  }
  auto item = std::move(*first);
  network_.erase(first);
  return item;
}

auto request_harness::EndAttempt(const flight& item,
                                 attempt_end end,
                                 int status,
                                 duration latency) -> void {
  auto over = item;
  over.kind = flight_kind::end;
  over.result = attempt_result();
  over.result.end = end;
  over.result.status = status;
  over.result.outcome = {status, "text/plain", "answer"};
  Send(std::move(over), latency);
}

// Takes the rest of an attempt's answer off the network and ends it cut.
auto request_harness::CutAttempt(const flight& item) -> void {
  std::erase_if(network_, [&item](const flight& other) {
    return (other.kind == flight_kind::event ||
            other.kind == flight_kind::end) &&
           other.entry == item.entry && other.entry_run == item.entry_run &&
           other.id == item.id && other.attempt == item.attempt;
  });
  EndAttempt(item, attempt_end::interrupted, 0, kLatency);
}

// What follows on the same connection is as late as what comes before it.
auto request_harness::DelayAttempt(const flight& item, duration delay) -> void {
  for (auto& other : network_) {
    const auto is_answer =
        other.kind == flight_kind::event || other.kind == flight_kind::end;
    if (is_answer && other.entry == item.entry &&
        other.entry_run == item.entry_run && other.id == item.id &&
        other.attempt == item.attempt) {
      other.arrives += delay;
    }
  }
}

auto request_harness::CutFlights(std::size_t engine) -> void {
  auto cut = std::vector<flight>();
  for (const auto& item : network_) {
    if (item.kind == flight_kind::end && item.engine == engine &&
        item.result.end == attempt_end::complete) {
      cut.push_back(item);
    }
  }
  for (const auto& item : cut) {
    CutAttempt(item);
  }
}

auto request_harness::RunEngine(const flight& item, request_fault fault)
    -> void {
  auto& server = engines_[item.engine];
  if (fault == request_fault::engine_dies_before_accepting) {
    server.is_dead = true;
    server.stalled_until = now_ + kEngineDown;
    CutFlights(item.engine);
  }
  if (server.is_dead) {
    EndAttempt(item, attempt_end::not_sent, 0, kLatency);
    return;
  }
  const auto who = try_id{item.entry_run, item.id};
  if (told_not_run_.contains(who)) {
    Breach("a request ran that was reported as not run");
  }
  ran_.insert(who);
  const auto& key = item.ask.key.get();
  const auto is_retryable = item.ask.fingerprint == 0;
  if (++runs_[key] > 1 && !is_retryable) {
    Breach("the non-idempotent request " + key + " ran twice");
  }
  if (fault == request_fault::engine_dies_after_accepting) {
    server.is_dead = true;
    server.stalled_until = now_ + kEngineDown;
    EndAttempt(item, attempt_end::interrupted, 0, kLatency);
    CutFlights(item.engine);
    return;
  }
  if (fault == request_fault::engine_errs) {
    EndAttempt(item, attempt_end::complete, kStatusError, kLatency);
    return;
  }
  auto delay = duration(std::max(now_, server.stalled_until) - now_);
  for (auto event = item.resume_after + 1; event <= kEvents; ++event) {
    delay += kTokenTime;
    auto piece = item;
    piece.kind = flight_kind::event;
    piece.event = event;
    Send(std::move(piece), delay);
  }
  EndAttempt(
      item, attempt_end::complete, kStatusOk,
      delay + (fault == request_fault::answer_too_late ? duration(kVeryLate)
                                                       : duration(kLatency)));
}

auto request_harness::Receive(const flight& item) -> void {
  auto& target = entries_[item.entry];
  if (!target.coordinator || target.run != item.entry_run) {
    return;
  }
  if (item.kind == flight_kind::reply) {
    target.coordinator->OnClaimReply(item.ask.key, item.ask.owner.attempt,
                                     item.holder, item.reply, now_);
    return;
  }
  const auto found = target.sessions.find(item.id);
  if (found == target.sessions.end() || found->second.current != item.attempt) {
    return;  // The answer of an earlier attempt never reaches the caller.
  }
  auto& open = found->second;
  if (item.kind == flight_kind::event) {
    if (calls_[open.call].kind == call_kind::stream) {
      if (item.event > open.shown + 1) {
        Breach("a stream skipped an event");
      }
      open.shown = std::max(open.shown, item.event);
    }
    target.coordinator->OnProgress(item.id, item.attempt, open.shown, now_);
    return;
  }
  auto result = item.result;
  result.events_delivered = open.shown;
  const auto is_short =
      calls_[open.call].kind == call_kind::stream && open.shown < kEvents;
  if (result.end == attempt_end::complete && result.status == kStatusOk &&
      is_short) {
    result.end = attempt_end::interrupted;
  }
  target.coordinator->OnAttemptEnd(item.id, item.attempt, result, now_);
}

// Lets the fault happen. Returns true when the message goes no further.
auto request_harness::Disturb(const flight& item, request_fault fault) -> bool {
  const auto is_link = item.kind == flight_kind::ask ||
                       item.kind == flight_kind::reply ||
                       item.kind == flight_kind::finish;
  const auto is_answer =
      item.kind == flight_kind::event || item.kind == flight_kind::end;
  switch (fault) {
    case request_fault::message_lost:
      if (item.kind == flight_kind::request) {
        EndAttempt(item, attempt_end::interrupted, 0, kLatency);
      } else if (is_answer) {
        CutAttempt(item);
      }
      return true;
    case request_fault::message_late:
      if (item.kind == flight_kind::request) {
        // It waits in a socket buffer while the entry gives the attempt up.
        EndAttempt(item, attempt_end::interrupted, 0, kLatency);
      }
      if (is_answer) {
        DelayAttempt(item, kLate);
      }
      Send(item, kLate);
      return true;
    case request_fault::message_reordered:
      // One connection keeps the order of its bytes.
      if (!is_answer) {
        Send(item, kLatency * 8);
        return true;
      }
      break;
    case request_fault::message_repeated:
      if (is_link) {
        Send(item, kLatency);
        Send(item, kLate);
      }
      break;
    case request_fault::stream_cut:
      if (is_answer) {
        CutAttempt(item);
        return true;
      }
      break;
    case request_fault::engine_stalls:
      if (is_answer) {
        DelayAttempt(item, kStall);
        Send(item, kStall);
        return true;
      }
      engines_[item.engine].stalled_until = now_ + kStall;
      break;
    case request_fault::owner_dies:
      StopEntry(item.entry);
      break;
    case request_fault::holder_restarts:
      StopEntry((item.entry + 1) % kEntries);
      break;
    case request_fault::two_holders_restart:
      StopEntry((item.entry + 1) % kEntries);
      StopEntry((item.entry + 2) % kEntries);
      break;
    case request_fault::caller_leaves: {
      auto& target = entries_[item.entry];
      if (target.coordinator && target.run == item.entry_run) {
        target.coordinator->OnCallerDisconnected(item.id, now_);
        if (!target.coordinator->IsActive(item.id)) {
          target.sessions.erase(item.id);
        }
      }
      break;
    }
    default:
      break;
  }
  return false;
}

auto request_harness::Deliver(const flight& item, request_fault fault) -> void {
  if (Disturb(item, fault)) {
    return;
  }
  switch (item.kind) {
    case flight_kind::ask: {
      auto& holder = entries_[static_cast<std::size_t>(
          item.ask.holder.get().back() - '0')];
      if (!holder.table) {
        return;
      }
      auto reply = item;
      reply.kind = flight_kind::reply;
      reply.holder = holder.name;
      reply.reply = holder.table->TryClaim(item.ask.key, item.ask.owner,
                                           item.ask.fingerprint, now_);
      Send(std::move(reply), kLatency);
      break;
    }
    case flight_kind::finish: {
      auto& holder = entries_[static_cast<std::size_t>(
          item.finish.holder.get().back() - '0')];
      if (holder.table) {
        holder.table->Complete(item.finish.key, item.finish.owner,
                               item.finish.outcome);
      }
      break;
    }
    case flight_kind::request:
      RunEngine(item, fault);
      break;
    default:
      Receive(item);
      break;
  }
}

auto request_harness::Run(std::size_t index, const dispatch_action& action)
    -> void {
  auto& item = entries_[index];
  auto& open = item.sessions.at(action.id);
  open.current = action.attempt;
  const auto& call = calls_[open.call];
  auto sent = flight();
  sent.kind = flight_kind::request;
  sent.entry = index;
  sent.entry_run = item.run;
  sent.id = action.id;
  sent.attempt = action.attempt;
  sent.engine = static_cast<std::size_t>(action.backend.get().back() - '0');
  sent.resume_after = action.resume_after;
  sent.ask.key = request_key(call.key);
  // The judge's mark of a request that may not be repeated.
  sent.ask.fingerprint = action.is_retryable ? 0 : 1;
  Send(std::move(sent), kLatency);
}

auto request_harness::Run(std::size_t index, const cancel_action& action)
    -> void {
  const auto found = entries_[index].sessions.find(action.id);
  if (found != entries_[index].sessions.end()) {
    found->second.current = attempt_number();
  }
}

auto request_harness::Settle(std::size_t index, request_id id, bool is_whole)
    -> void {
  auto& sessions = entries_[index].sessions;
  const auto found = sessions.find(id);
  if (found == sessions.end()) {
    return;
  }
  auto& call = calls_[found->second.call];
  call.has_whole = call.has_whole || is_whole;
  if (!is_whole && call.kind == call_kind::keyed) {
    call.resend_at = now_ + kResendPause;
  }
  sessions.erase(found);
}

auto request_harness::Run(std::size_t index, const deliver_action& action)
    -> void {
  const auto found = entries_[index].sessions.find(action.id);
  if (found != entries_[index].sessions.end()) {
    const auto is_stream = calls_[found->second.call].kind == call_kind::stream;
    if (is_stream && found->second.shown < kEvents) {
      Breach("a cut stream was passed off as whole");
    }
  }
  Settle(index, action.id, true);
}

auto request_harness::Run(std::size_t index, const refuse_action& action)
    -> void {
  const auto who = try_id{entries_[index].run, action.id};
  if (action.ran == ran_state::no) {
    if (ran_.contains(who)) {
      Breach("a request that ran was reported as not run");
    }
    told_not_run_.insert(who);
  }
  Settle(index, action.id, false);
}

auto request_harness::Run(std::size_t index, const replay_action& action)
    -> void {
  Settle(index, action.id, true);
}

auto request_harness::RunEntry(std::size_t index) -> void {
  auto& item = entries_[index];
  if (!item.coordinator) {
    if (now_ >= item.down_until) {
      StartEntry(index, now_);
    }
    return;
  }
  item.coordinator->Tick(now_);
  for (const auto& action : item.coordinator->TakeActions()) {
    std::visit([this, index](const auto& body) { Run(index, body); }, action);
  }
  for (const auto& ask : item.book->TakeRequests()) {
    auto sent = flight();
    sent.kind = flight_kind::ask;
    sent.entry = index;
    sent.entry_run = item.run;
    sent.ask = ask;
    Send(std::move(sent), kLatency);
  }
  for (const auto& finish : item.book->TakeCompletions()) {
    auto sent = flight();
    sent.kind = flight_kind::finish;
    sent.entry = index;
    sent.entry_run = item.run;
    sent.finish = finish;
    Send(std::move(sent), kLatency);
  }
}

auto request_harness::Call(call_kind kind, std::size_t entry) -> void {
  auto call = call_record();
  call.kind = kind;
  call.key = "call" + std::to_string(calls_.size());
  call.last_entry = entry;
  call.resend_at = now_;
  calls_.push_back(std::move(call));
}

auto request_harness::Resend() -> void {
  for (auto i = std::size_t{0}; i < calls_.size(); ++i) {
    auto& call = calls_[i];
    if (!call.resend_at || now_ < *call.resend_at || call.has_whole ||
        call.tries >= kMaxTries) {
      continue;
    }
    if (call.tries > 0) {
      call.last_entry = (call.last_entry + 1) % kEntries;
    }
    ++call.tries;
    auto& target = entries_[call.last_entry];
    if (!target.coordinator) {
      call.resend_at = now_ + kResendPause;
      continue;
    }
    call.resend_at.reset();
    auto request = caller_request();
    request.id = request_id(target.next_id++);
    request.model = model_name("m");
    request.deadline = now_ + kTimeLimit;
    request.is_stream = call.kind == call_kind::stream;
    request.is_retryable =
        call.kind == call_kind::repeatable || call.kind == call_kind::stream;
    if (call.kind == call_kind::keyed) {
      request.key = request_key(call.key);
      request.fingerprint = HashBytes(call.key);
    }
    target.sessions[request.id] = {i, attempt_number(), 0, request.deadline};
    target.coordinator->OnRequest(request, now_);
  }
}

auto request_harness::CheckAnswersInTime() const -> void {
  for (const auto& item : entries_) {
    for (const auto& [id, open] : item.sessions) {
      if (now_ > open.deadline + kGrace) {
        Breach("a caller has no final answer after its time limit");
      }
    }
  }
}

auto request_harness::Run(duration time) -> void {
  const auto end = now_ + time;
  while (now_ < end) {
    now_ += kTick;
    for (auto& server : engines_) {
      if (server.is_dead && now_ >= server.stalled_until) {
        server.is_dead = false;
      }
    }
    Resend();
    while (auto item = TakeDue()) {
      const auto planned = faults_.find(steps_++);
      Deliver(*item,
              planned == faults_.end() ? request_fault::none : planned->second);
    }
    for (auto i = std::size_t{0}; i < entries_.size(); ++i) {
      RunEntry(i);
    }
    CheckAnswersInTime();
  }
}

auto request_harness::Plan(std::uint64_t steps_from_now, request_fault fault)
    -> void {
  faults_[steps_ + steps_from_now] = fault;
}

auto request_harness::CheckSettled() const -> void {
  for (const auto& item : entries_) {
    if (!item.sessions.empty()) {
      Breach("a request never got a final answer");
    }
  }
}

}  // namespace ebony::testing
