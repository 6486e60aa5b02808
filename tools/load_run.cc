#include "tools/load_run.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "core/error_kind.h"
#include "drivers/wakeup_event.h"
#include "entry/sse_reader.h"

namespace ebony {

namespace {

using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

constexpr std::size_t kClientCapacity = 65536;
constexpr int kStatusOk = 200;
constexpr int kMaxEntryTries = 4;
constexpr auto kPause = milliseconds(1);
constexpr auto kFinalWait = std::chrono::seconds(70);
// Added to a time limit before a late answer counts as held back.
constexpr auto kNetworkAllowance = milliseconds(500);
constexpr auto kDirectoryRetry = duration(milliseconds(200));
constexpr double kBurstFactor = 3;

auto GetQuantile(std::vector<double> values, double quantile) -> double {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto at = quantile * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(at)];
}

auto ToMs(duration time) -> double {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

struct load_run::planned_call {
  std::string tag;
  std::string key;
  std::string urgency;
  std::string kind;  // class of the request
  std::string path;
  std::string body;
  std::string entry;
  bool is_stream = false;
  bool is_service = false;
  std::uint32_t tokens = 0;
  duration limit{0};
  mono_time began;
  mono_time last_token;
  int tries = 0;
  int status = 0;
  header_map headers;
  std::string text;  // raw body, or the content of a stream
  bool has_done = false;
  json error_event;  // what ended a stream that was not whole
  sse_reader reader;
};

load_run::load_run(schema::load_settings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed()),
      nonce_(std::random_device()()),
      client_(kClientCapacity) {
  client_.Start();
}

auto load_run::AskDirectory() -> directory_answer {
  auto out = directory_answer();
  if (settings_.direct()) {
    for (const auto& address : settings_.entries()) {
      out.entries.push_back({address, 1});
    }
    out.kept = std::chrono::hours(1);
    return out;
  }
  for (const auto& address : settings_.entries()) {
    auto call = http_call();
    call.method = "GET";
    call.url = "http://" + address + "/v1/entries";
    call.timeout = milliseconds(1000);
    const auto answer = CallAndWait(client_, std::move(call));
    const auto body = json::parse(answer.body, nullptr, false);
    if (answer.status != kStatusOk || !body.is_object()) {
      continue;
    }
    for (const auto& entry : body["entries"]) {
      out.entries.push_back({entry["address"], entry["weight"]});
    }
    out.kept = milliseconds(body.value("ttl_ms", 1000));
    return out;
  }
  return out;
}

auto load_run::KeepDirectory(const directory_answer& answer, mono_time now)
    -> void {
  if (!answer.entries.empty()) {
    entries_ = answer.entries;
  }
  if (entries_.empty()) {
    throw ebony_error(error_kind::backend_unreachable,
                      "no entry answers the directory question");
  }
  directory_until_ = now + std::max(answer.kept, kDirectoryRetry);
}

auto load_run::LoadModels() -> void {
  if (!settings_.model().empty()) {
    models_ = {settings_.model()};
  } else {
    auto call = http_call();
    call.method = "GET";
    call.url = "http://" + PickEntry() + "/v1/models";
    const auto answer = CallAndWait(client_, std::move(call));
    const auto body = json::parse(answer.body, nullptr, false);
    if (answer.status != kStatusOk || !body.is_object()) {
      throw ebony_error(error_kind::backend_unreachable,
                        "cannot read the list of models");
    }
    for (const auto& model : body["data"]) {
      models_.push_back(model["id"]);
    }
  }
  if (models_.empty()) {
    throw ebony_error(error_kind::unknown_model, "no model is declared");
  }
  std::shuffle(models_.begin(), models_.end(), random_);
  for (auto i = std::size_t{0}; i < models_.size(); ++i) {
    popularity_.push_back(
        1 / std::pow(static_cast<double>(i + 1), settings_.skew()));
  }
}

auto load_run::PickEntry() -> std::string {
  auto weights = std::vector<double>();
  for (const auto& entry : entries_) {
    weights.push_back(entry.weight);
  }
  auto pick =
      std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
  return entries_[pick(random_)].address;
}

auto load_run::Plan(std::uint64_t number) -> std::shared_ptr<planned_call> {
  auto call = std::make_shared<planned_call>();
  auto percent = std::uniform_int_distribution<std::uint32_t>(0, 99);
  auto pick = std::discrete_distribution<std::size_t>(popularity_.begin(),
                                                      popularity_.end());
  call->tag =
      "r" + std::to_string(settings_.seed()) + "n" + std::to_string(number);
  const auto dice = percent(random_);
  const auto limit = duration(milliseconds(settings_.timeout_ms()));
  if (dice < 20) {
    call->kind = "urgent";
    call->urgency = "u=0";
    call->limit = limit / 2;
  } else if (dice < 75) {
    call->kind = "interactive";
    call->urgency = "u=3";
    call->limit = limit;
  } else {
    call->kind = "batch";
    call->urgency = "u=6";
    call->limit = limit * 4;
  }
  if (percent(random_) < settings_.keyed_percent()) {
    // Other runs with the same seed must not meet these keys.
    call->key = "key-" + std::to_string(nonce_) + "-" + call->tag;
  }
  if (percent(random_) < settings_.service_percent()) {
    call->is_service = true;
    call->path = "/v1/services/" + settings_.service() + "/lookup";
    call->body = call->tag;
    return call;
  }
  call->path = "/v1/chat/completions";
  call->is_stream = percent(random_) < 60;
  auto length = std::uniform_int_distribution<std::uint32_t>(
      std::max(1U, settings_.tokens() / 2), settings_.tokens() * 3 / 2);
  call->tokens = length(random_);
  auto body = json();
  body["model"] = models_[pick(random_)];
  body["stream"] = call->is_stream;
  body["max_tokens"] = call->tokens;
  body["messages"] = json::array(
      {{{"role", "system"}, {"content", "context " + std::to_string(dice % 8)}},
       {{"role", "user"}, {"content", call->tag + " describe the item"}}});
  call->body = body.dump();
  return call;
}

auto load_run::Send(const std::shared_ptr<planned_call>& call) -> void {
  auto out = http_call();
  out.url = "http://" + call->entry + call->path;
  out.body = call->body;
  out.timeout = call->limit + kNetworkAllowance + milliseconds(1000);
  out.allow_resend = call->key.empty();
  const auto limit =
      std::chrono::duration_cast<milliseconds>(call->limit).count();
  out.headers = {"Content-Type: application/json",
                 "X-Request-Timeout-Ms: " + std::to_string(limit),
                 "Priority: " + call->urgency, "X-Caller-Id: load"};
  if (!call->key.empty()) {
    out.headers.push_back("Idempotency-Key: " + call->key);
  }
  out.callbacks.on_head = [call](int status, const header_map& headers) {
    call->status = status;
    call->headers = headers;
  };
  out.callbacks.on_data = [this, call](std::string_view bytes) {
    OnData(*call, bytes);
  };
  out.callbacks.on_end = [this, call](transfer_result end, const std::string&) {
    OnEnd(call, end);
  };
  ++call->tries;
  client_.Call(std::move(out));
}

auto load_run::OnData(planned_call& call, std::string_view bytes) -> void {
  const auto now = GetNow();
  const auto is_events =
      call.headers["content-type"].rfind("text/event-stream", 0) == 0;
  if (!is_events) {
    call.text.append(bytes);
    return;
  }
  call.reader.Feed(bytes, [this, &call, now](const sse_event& event) {
    if (event.data == "[DONE]") {
      call.has_done = true;
      return;
    }
    const auto chunk = json::parse(event.data, nullptr, false);
    if (!chunk.is_object() || !chunk.contains("choices")) {
      call.error_event = chunk;
      return;
    }
    call.text += chunk["choices"][0]["delta"].value("content", "");
    const auto lock = std::lock_guard(mutex_);
    if (call.last_token == mono_time()) {
      report_.first_token_ms.push_back(ToMs(now - call.began));
    } else {
      report_.token_gap_ms.push_back(ToMs(now - call.last_token));
    }
    call.last_token = now;
  });
}

auto load_run::Judge(planned_call& call, transfer_result end) -> void {
  const auto took = GetNow() - call.began;
  if (call.error_event.is_object() && call.error_event.contains("error")) {
    ++report_.refused;
    ++report_.refusals[call.error_event["error"].value("code", "?")];
    report_.held_back += took > call.limit + kNetworkAllowance ? 1 : 0;
    return;
  }
  if (end != transfer_result::completed) {
    ++(end == transfer_result::not_sent ? report_.unreached : report_.cut);
    return;
  }
  if (call.status != kStatusOk) {
    const auto body = json::parse(call.text, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
      ++report_.wrong;
      return;
    }
    ++report_.refused;
    ++report_.refusals[body["error"].value("code", "?")];
    report_.held_back += took > call.limit + kNetworkAllowance ? 1 : 0;
    if (!call.key.empty() && body["error"].value("ran", "") == "no") {
      report_.not_run_keys.push_back(call.key);
    }
    return;
  }
  auto expected = std::string();
  for (auto i = std::uint32_t{1}; i <= call.tokens; ++i) {
    expected += call.tag + "." + std::to_string(i) + " ";
  }
  auto got = call.text;
  if (call.is_service) {
    const auto body = json::parse(call.text, nullptr, false);
    expected = call.tag;
    got = body.is_object() ? body.value("echo", "") : "";
  } else if (!call.is_stream) {
    const auto body = json::parse(call.text, nullptr, false);
    got = body.is_object() && body.contains("choices")
              ? body["choices"][0]["message"].value("content", "")
              : "";
  }
  const auto is_marked = !call.is_stream || call.has_done;
  if (got != expected || !is_marked) {
    ++report_.wrong;
    return;
  }
  ++report_.whole;
  if (took <= call.limit) {
    ++report_.in_time;
    ++report_.in_time_by_class[call.kind];
  }
}

auto load_run::OnEnd(const std::shared_ptr<planned_call>& call,
                     transfer_result end) -> void {
  const auto lock = std::lock_guard(mutex_);
  // Nothing left this process, so another entry may be tried.
  if (end == transfer_result::not_sent && call->tries < kMaxEntryTries) {
    call->entry = PickEntry();
    Send(call);
    return;
  }
  Judge(*call, end);
  --open_;
}

auto load_run::GetRate(duration elapsed) const -> double {
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
  return settings_.burst() && second % 3 == 2 ? settings_.rate() * kBurstFactor
                                              : settings_.rate();
}

auto load_run::AskJudge() -> void {
  auto call = http_call();
  call.method = "GET";
  call.url = "http://" + settings_.judge() + "/report";
  const auto answer = CallAndWait(client_, std::move(call));
  const auto body = json::parse(answer.body, nullptr, false);
  if (answer.status != kStatusOk || !body.is_object()) {
    throw ebony_error(error_kind::backend_unreachable,
                      "the judge does not answer");
  }
  report_.doubled = body.value("doubled_keys", std::uint64_t{0});
  report_.overfilled = body.value("overfilled", std::uint64_t{0});
  for (const auto& key : report_.not_run_keys) {
    report_.untrue += body["runs"].contains(key) ? 1 : 0;
  }
}

auto load_run::Run() -> load_report {
  KeepDirectory(AskDirectory(), GetNow());
  LoadModels();
  const auto begin = GetNow();
  const auto end = begin + std::chrono::seconds(settings_.seconds());
  auto gap = std::exponential_distribution<double>(1);
  auto next = begin;
  auto number = std::uint64_t{0};
  while (next < end) {
    while (GetNow() < next) {
      std::this_thread::sleep_for(kPause);
    }
    auto call = std::shared_ptr<planned_call>();
    {
      const auto lock = std::lock_guard(mutex_);
      call = Plan(number++);
      call->entry = PickEntry();
      ++open_;
      ++report_.sent;
      ++report_.sent_by_class[call->kind];
    }
    call->began = GetNow();
    Send(call);
    next += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap(random_) / GetRate(next - begin)));
    if (GetNow() >= directory_until_) {
      // Answers arrive meanwhile, so the directory call must not hold the lock.
      const auto fresh = AskDirectory();
      const auto lock = std::lock_guard(mutex_);
      KeepDirectory(fresh, GetNow());
    }
  }
  const auto give_up = GetNow() + kFinalWait;
  for (;;) {
    {
      const auto lock = std::lock_guard(mutex_);
      if (open_ == 0 || GetNow() >= give_up) {
        break;
      }
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  if (!settings_.judge().empty()) {
    AskJudge();
  }
  client_.Stop();
  report_.unreached += open_;
  return report_;
}

auto HasBreach(const load_report& report) -> bool {
  return report.wrong + report.held_back + report.doubled + report.untrue +
             report.overfilled >
         0;
}

auto RenderLoadReport(const load_report& report, double seconds)
    -> std::string {
  auto out = json();
  out["seconds"] = seconds;
  out["sent"] = report.sent;
  out["whole"] = report.whole;
  out["in_time"] = report.in_time;
  out["attainment"] = report.sent == 0 ? 0.0
                                       : static_cast<double>(report.in_time) /
                                             static_cast<double>(report.sent);
  out["refused"] = report.refused;
  out["refusals"] = report.refusals;
  out["cut"] = report.cut;
  out["unreached"] = report.unreached;
  out["wrong"] = report.wrong;
  out["held_back"] = report.held_back;
  out["first_token_ms"] = {{"p50", GetQuantile(report.first_token_ms, 0.5)},
                           {"p95", GetQuantile(report.first_token_ms, 0.95)},
                           {"p99", GetQuantile(report.first_token_ms, 0.99)}};
  out["token_gap_ms"] = {{"p50", GetQuantile(report.token_gap_ms, 0.5)},
                         {"p95", GetQuantile(report.token_gap_ms, 0.95)},
                         {"p99", GetQuantile(report.token_gap_ms, 0.99)}};
  for (const auto& [kind, sent] : report.sent_by_class) {
    const auto found = report.in_time_by_class.find(kind);
    const auto in_time =
        found == report.in_time_by_class.end() ? 0 : found->second;
    out["attainment_by_class"][kind] =
        static_cast<double>(in_time) / static_cast<double>(sent);
  }
  out["doubled"] = report.doubled;
  out["untrue"] = report.untrue;
  out["overfilled"] = report.overfilled;
  out["not_run_keys"] = report.not_run_keys;
  return out.dump();
}

}  // namespace ebony
