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
constexpr auto kDelay = milliseconds(700);
constexpr auto kLongDelay = milliseconds(6000);
constexpr auto kEventInterval = milliseconds(10);
constexpr auto kTimeLimit = milliseconds(3000);
constexpr auto kKeyLifetime = milliseconds(4000);
constexpr auto kEngineDowntime = milliseconds(1000);
constexpr auto kEntryDowntime = milliseconds(500);
constexpr auto kStallTime = milliseconds(5000);
constexpr auto kResendDelay = milliseconds(150);
constexpr auto kDeadlineTolerance = milliseconds(50);
constexpr std::uint64_t kEvents = 5;
constexpr int kMaxSends = 12;
constexpr std::size_t kEntries = 3;
constexpr std::size_t kEngines = 3;
constexpr int kStatusOk = 200;
constexpr int kStatusError = 500;

[[noreturn]] auto ReportViolation(const std::string& what) -> void {
  throw std::logic_error(what);
}

auto MakeClaimOptions() -> claim_table_options {
  auto options = claim_table_options();
  options.key_lifetime = kKeyLifetime;
  return options;
}

auto GetDataCentre(std::size_t index) -> std::string {
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
    item.route.data_centre = data_centre_name(GetDataCentre(i));
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
  route_options.local_data_centre = data_centre_name(GetDataCentre(index));
  item.backend_router = std::make_unique<router>(route_options, random);
  item.table = std::make_unique<claim_table>(MakeClaimOptions(), claims_since);
  auto peers = std::vector<claim_peer>();
  for (auto i = std::size_t{0}; i < kEntries; ++i) {
    peers.push_back({entries_[i].name, data_centre_name(GetDataCentre(i))});
  }
  item.claims = std::make_unique<claim_coordinator>(
      MakeClaimOptions(), item.name, incarnation(item.run), peers);
  auto options = coordinator_options();
  options.stall = milliseconds(400);
  options.entry_count = kEntries;
  item.coordinator = std::make_unique<request_coordinator>(
      options, table_, *item.backend_router, *item.claims, random,
      [](const std::string&) {});
}

auto request_harness::StopEntry(std::size_t index) -> void {
  auto& item = entries_[index];
  if (!item.coordinator) {
    return;
  }
  item.coordinator.reset();
  item.claims.reset();
  item.table.reset();
  item.backend_router.reset();
  item.down_until = now_ + kEntryDowntime;
  // The connections of the callers close, and keyed requests are resent.
  for (const auto& [id, session] : item.sessions) {
    auto& call = calls_[session.call];
    if (call.kind == call_kind::keyed) {
      call.resend_at = now_ + kResendDelay;
    }
  }
  item.sessions.clear();
}

auto request_harness::Send(message item, duration latency) -> void {
  item.arrives = now_ + latency;
  item.number = next_number_++;
  network_.push_back(std::move(item));
}

auto request_harness::TakeDueMessage() -> std::optional<message> {
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

auto request_harness::EndAttempt(const message& item,
                                 attempt_end end,
                                 int status,
                                 duration latency) -> void {
  auto end_message = item;
  end_message.kind = message_kind::end;
  end_message.result = attempt_result();
  end_message.result.end = end;
  end_message.result.status = status;
  end_message.result.outcome = {status, "text/plain", "answer"};
  Send(std::move(end_message), latency);
}

// Removes the rest of an attempt's answer from the network and reports the
// attempt as interrupted.
auto request_harness::InterruptAttempt(const message& item) -> void {
  std::erase_if(network_, [&item](const message& other) {
    return (other.kind == message_kind::event ||
            other.kind == message_kind::end) &&
           other.entry == item.entry && other.entry_run == item.entry_run &&
           other.id == item.id && other.attempt == item.attempt;
  });
  EndAttempt(item, attempt_end::interrupted, 0, kLatency);
}

// Delays the rest of an attempt's answer, which is sent on the same connection
// and therefore cannot overtake a delayed message.
auto request_harness::DelayAttempt(const message& item, duration delay)
    -> void {
  for (auto& other : network_) {
    const auto is_answer =
        other.kind == message_kind::event || other.kind == message_kind::end;
    if (is_answer && other.entry == item.entry &&
        other.entry_run == item.entry_run && other.id == item.id &&
        other.attempt == item.attempt) {
      other.arrives += delay;
    }
  }
}

auto request_harness::InterruptAnswers(std::size_t engine) -> void {
  auto interrupted = std::vector<message>();
  for (const auto& item : network_) {
    if (item.kind == message_kind::end && item.engine == engine &&
        item.result.end == attempt_end::complete) {
      interrupted.push_back(item);
    }
  }
  for (const auto& item : interrupted) {
    InterruptAttempt(item);
  }
}

auto request_harness::ExecuteOnEngine(const message& item, request_fault fault)
    -> void {
  auto& server = engines_[item.engine];
  if (fault == request_fault::engine_crashes_before_accepting) {
    server.is_down = true;
    server.stalled_until = now_ + kEngineDowntime;
    InterruptAnswers(item.engine);
  }
  if (server.is_down) {
    EndAttempt(item, attempt_end::not_sent, 0, kLatency);
    return;
  }
  const auto id = send_id{item.entry_run, item.id};
  if (refused_not_run_.contains(id)) {
    ReportViolation("a request was executed after it was reported as not run");
  }
  executed_.insert(id);
  const auto& key = item.claim.key.get();
  const auto is_retryable = item.claim.fingerprint == 0;
  if (++executions_[key] > 1 && !is_retryable) {
    ReportViolation("the non-idempotent request " + key +
                    " was executed twice");
  }
  if (fault == request_fault::engine_crashes_after_accepting) {
    server.is_down = true;
    server.stalled_until = now_ + kEngineDowntime;
    EndAttempt(item, attempt_end::interrupted, 0, kLatency);
    InterruptAnswers(item.engine);
    return;
  }
  if (fault == request_fault::engine_error) {
    EndAttempt(item, attempt_end::complete, kStatusError, kLatency);
    return;
  }
  auto delay = duration(std::max(now_, server.stalled_until) - now_);
  for (auto event = item.resume_after + 1; event <= kEvents; ++event) {
    delay += kEventInterval;
    auto event_message = item;
    event_message.kind = message_kind::event;
    event_message.event = event;
    Send(std::move(event_message), delay);
  }
  EndAttempt(
      item, attempt_end::complete, kStatusOk,
      delay + (fault == request_fault::answer_delayed ? duration(kLongDelay)
                                                      : duration(kLatency)));
}

auto request_harness::Receive(const message& item) -> void {
  auto& target = entries_[item.entry];
  if (!target.coordinator || target.run != item.entry_run) {
    return;
  }
  if (item.kind == message_kind::claim_reply) {
    target.coordinator->OnClaimReply(item.claim.key, item.claim.owner.attempt,
                                     item.holder, item.reply, now_);
    return;
  }
  const auto found = target.sessions.find(item.id);
  if (found == target.sessions.end() || found->second.current != item.attempt) {
    return;  // The message belongs to an earlier attempt.
  }
  auto& session = found->second;
  if (item.kind == message_kind::event) {
    if (calls_[session.call].kind == call_kind::stream) {
      if (item.event > session.events_delivered + 1) {
        ReportViolation("a stream skipped an event");
      }
      session.events_delivered = std::max(session.events_delivered, item.event);
    }
    target.coordinator->OnProgress(item.id, item.attempt,
                                   session.events_delivered, now_);
    return;
  }
  auto result = item.result;
  result.events_delivered = session.events_delivered;
  const auto is_short = calls_[session.call].kind == call_kind::stream &&
                        session.events_delivered < kEvents;
  if (result.end == attempt_end::complete && result.status == kStatusOk &&
      is_short) {
    result.end = attempt_end::interrupted;
  }
  target.coordinator->OnAttemptEnd(item.id, item.attempt, result, now_);
}

// Injects the fault. Returns true when the message must not be delivered now.
auto request_harness::ApplyFault(const message& item, request_fault fault)
    -> bool {
  const auto is_claim_message = item.kind == message_kind::claim_request ||
                                item.kind == message_kind::claim_reply ||
                                item.kind == message_kind::claim_completion;
  const auto is_answer =
      item.kind == message_kind::event || item.kind == message_kind::end;
  switch (fault) {
    case request_fault::message_lost:
      if (item.kind == message_kind::request) {
        EndAttempt(item, attempt_end::interrupted, 0, kLatency);
      } else if (is_answer) {
        InterruptAttempt(item);
      }
      return true;
    case request_fault::message_delayed:
      if (item.kind == message_kind::request) {
        // The request stays in a socket buffer while the entry abandons the
        // attempt.
        EndAttempt(item, attempt_end::interrupted, 0, kLatency);
      }
      if (is_answer) {
        DelayAttempt(item, kDelay);
      }
      Send(item, kDelay);
      return true;
    case request_fault::message_reordered:
      // Answers are not reordered, because a connection preserves the order of
      // its bytes.
      if (!is_answer) {
        Send(item, kLatency * 8);
        return true;
      }
      break;
    case request_fault::message_duplicated:
      if (is_claim_message) {
        Send(item, kLatency);
        Send(item, kDelay);
      }
      break;
    case request_fault::stream_interrupted:
      if (is_answer) {
        InterruptAttempt(item);
        return true;
      }
      break;
    case request_fault::engine_stalls:
      if (is_answer) {
        DelayAttempt(item, kStallTime);
        Send(item, kStallTime);
        return true;
      }
      engines_[item.engine].stalled_until = now_ + kStallTime;
      break;
    case request_fault::owner_crashes:
      StopEntry(item.entry);
      break;
    case request_fault::holder_restarts:
      StopEntry((item.entry + 1) % kEntries);
      break;
    case request_fault::two_holders_restart:
      StopEntry((item.entry + 1) % kEntries);
      StopEntry((item.entry + 2) % kEntries);
      break;
    case request_fault::caller_disconnects: {
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

auto request_harness::Deliver(const message& item, request_fault fault)
    -> void {
  if (ApplyFault(item, fault)) {
    return;
  }
  switch (item.kind) {
    case message_kind::claim_request: {
      auto& holder = entries_[static_cast<std::size_t>(
          item.claim.holder.get().back() - '0')];
      if (!holder.table) {
        return;
      }
      auto reply = item;
      reply.kind = message_kind::claim_reply;
      reply.holder = holder.name;
      reply.reply = holder.table->TryClaim(item.claim.key, item.claim.owner,
                                           item.claim.fingerprint, now_);
      Send(std::move(reply), kLatency);
      break;
    }
    case message_kind::claim_completion: {
      auto& holder = entries_[static_cast<std::size_t>(
          item.completion.holder.get().back() - '0')];
      if (holder.table) {
        holder.table->Complete(item.completion.key, item.completion.owner,
                               item.completion.outcome);
      }
      break;
    }
    case message_kind::request:
      ExecuteOnEngine(item, fault);
      break;
    default:
      Receive(item);
      break;
  }
}

auto request_harness::Execute(std::size_t index, const dispatch_action& action)
    -> void {
  auto& item = entries_[index];
  auto& session = item.sessions.at(action.id);
  session.current = action.attempt;
  const auto& call = calls_[session.call];
  auto sent = message();
  sent.kind = message_kind::request;
  sent.entry = index;
  sent.entry_run = item.run;
  sent.id = action.id;
  sent.attempt = action.attempt;
  sent.engine = static_cast<std::size_t>(action.backend.get().back() - '0');
  sent.resume_after = action.resume_after;
  sent.claim.key = request_key(call.key);
  // The harness marks requests that must not be repeated by a fingerprint of 1.
  sent.claim.fingerprint = action.is_retryable ? 0 : 1;
  Send(std::move(sent), kLatency);
}

auto request_harness::Execute(std::size_t index, const cancel_action& action)
    -> void {
  const auto found = entries_[index].sessions.find(action.id);
  if (found != entries_[index].sessions.end()) {
    found->second.current = attempt_number();
  }
}

auto request_harness::FinishCall(std::size_t index,
                                 request_id id,
                                 bool is_complete) -> void {
  auto& sessions = entries_[index].sessions;
  const auto found = sessions.find(id);
  if (found == sessions.end()) {
    return;
  }
  auto& call = calls_[found->second.call];
  call.has_complete_answer = call.has_complete_answer || is_complete;
  if (!is_complete && call.kind == call_kind::keyed) {
    call.resend_at = now_ + kResendDelay;
  }
  sessions.erase(found);
}

auto request_harness::Execute(std::size_t index, const deliver_action& action)
    -> void {
  const auto found = entries_[index].sessions.find(action.id);
  if (found != entries_[index].sessions.end()) {
    const auto is_stream = calls_[found->second.call].kind == call_kind::stream;
    if (is_stream && found->second.events_delivered < kEvents) {
      ReportViolation("an interrupted stream was delivered as complete");
    }
  }
  FinishCall(index, action.id, true);
}

auto request_harness::Execute(std::size_t index, const refuse_action& action)
    -> void {
  const auto id = send_id{entries_[index].run, action.id};
  if (action.ran == ran_state::no) {
    if (executed_.contains(id)) {
      ReportViolation("a request that was executed was reported as not run");
    }
    refused_not_run_.insert(id);
  }
  FinishCall(index, action.id, false);
}

auto request_harness::Execute(std::size_t index, const replay_action& action)
    -> void {
  FinishCall(index, action.id, true);
}

auto request_harness::TickEntry(std::size_t index) -> void {
  auto& item = entries_[index];
  if (!item.coordinator) {
    if (now_ >= item.down_until) {
      StartEntry(index, now_);
    }
    return;
  }
  item.coordinator->Tick(now_);
  for (const auto& action : item.coordinator->TakeActions()) {
    std::visit([this, index](const auto& body) { Execute(index, body); },
               action);
  }
  for (const auto& claim : item.claims->TakeRequests()) {
    auto sent = message();
    sent.kind = message_kind::claim_request;
    sent.entry = index;
    sent.entry_run = item.run;
    sent.claim = claim;
    Send(std::move(sent), kLatency);
  }
  for (const auto& completion : item.claims->TakeCompletions()) {
    auto sent = message();
    sent.kind = message_kind::claim_completion;
    sent.entry = index;
    sent.entry_run = item.run;
    sent.completion = completion;
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
    if (!call.resend_at || now_ < *call.resend_at || call.has_complete_answer ||
        call.sends >= kMaxSends) {
      continue;
    }
    if (call.sends > 0) {
      call.last_entry = (call.last_entry + 1) % kEntries;
    }
    ++call.sends;
    auto& target = entries_[call.last_entry];
    if (!target.coordinator) {
      call.resend_at = now_ + kResendDelay;
      continue;
    }
    call.resend_at.reset();
    auto request = caller_request();
    request.id = request_id(target.next_id++);
    request.model = model_name("m");
    request.deadline = now_ + kTimeLimit;
    request.is_stream = call.kind == call_kind::stream;
    request.is_retryable =
        call.kind == call_kind::retryable || call.kind == call_kind::stream;
    if (call.kind == call_kind::keyed) {
      request.key = request_key(call.key);
      request.fingerprint = HashBytes(call.key);
    }
    target.sessions[request.id] = {i, attempt_number(), 0, request.deadline};
    target.coordinator->OnRequest(request, now_);
  }
}

auto request_harness::CheckDeadlines() const -> void {
  for (const auto& item : entries_) {
    for (const auto& [id, session] : item.sessions) {
      if (now_ > session.deadline + kDeadlineTolerance) {
        ReportViolation(
            "a caller received no final answer within its time limit");
      }
    }
  }
}

auto request_harness::Run(duration time) -> void {
  const auto end = now_ + time;
  while (now_ < end) {
    now_ += kTick;
    for (auto& server : engines_) {
      if (server.is_down && now_ >= server.stalled_until) {
        server.is_down = false;
      }
    }
    Resend();
    while (auto item = TakeDueMessage()) {
      const auto scheduled = faults_.find(steps_++);
      Deliver(*item, scheduled == faults_.end() ? request_fault::none
                                                : scheduled->second);
    }
    for (auto i = std::size_t{0}; i < entries_.size(); ++i) {
      TickEntry(i);
    }
    CheckDeadlines();
  }
}

auto request_harness::ScheduleFault(std::uint64_t steps_from_now,
                                    request_fault fault) -> void {
  faults_[steps_ + steps_from_now] = fault;
}

auto request_harness::CheckAllAnswered() const -> void {
  for (const auto& item : entries_) {
    if (!item.sessions.empty()) {
      ReportViolation("a request received no final answer");
    }
  }
}

}  // namespace ebony::testing
