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
constexpr int kMaxAttempts = 4;
// Time between two checks of the clock while waiting for the next request.
constexpr auto kPollInterval = milliseconds(1);
// Time to wait for the requests in flight after the last one was sent.
constexpr auto kDrainTimeout = std::chrono::seconds(70);
// Network delay added to a time limit before a rejection counts as late.
constexpr auto kNetworkAllowance = milliseconds(500);
// Shortest time between two requests for the directory.
constexpr auto kMinDirectoryLifetime = duration(milliseconds(200));
// Rate of a burst as a multiple of the configured rate.
constexpr double kBurstFactor = 3;

auto GetQuantile(std::vector<double> values, double quantile) -> double {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto rank = quantile * static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(rank)];
}

auto ToMs(duration time) -> double {
  return std::chrono::duration<double, std::milli>(time).count();
}

}  // namespace

struct load_run::planned_request {
  std::string tag;
  std::string key;
  std::string urgency;     // value of the Priority header
  std::string class_name;  // as in the report
  std::string path;
  std::string body;
  std::string entry;
  bool is_stream = false;
  bool is_service = false;
  std::uint32_t tokens = 0;
  duration limit{0};
  mono_time started;
  mono_time last_token;
  int attempts = 0;
  int status = 0;
  header_map headers;
  std::string text;  // raw body, or the content of a stream
  bool has_done_event = false;
  json error_event;  // error event that ended the stream
  sse_reader reader;
};

load_run::load_run(schema::load_settings settings)
    : settings_(std::move(settings)),
      random_(settings_.seed()),
      run_nonce_(std::random_device()()),
      client_(kClientCapacity) {
  client_.Start();
}

auto load_run::GetConnectionUse() const -> connection_use {
  return settings_.direct() ? connection_use::own : connection_use::kept;
}

auto load_run::FetchDirectory() -> directory_answer {
  auto out = directory_answer();
  if (settings_.direct()) {
    for (const auto& address : settings_.entries()) {
      out.entries.push_back({address, 1});
    }
    out.lifetime = std::chrono::hours(1);
    return out;
  }
  for (const auto& address : settings_.entries()) {
    auto call = http_call();
    call.method = "GET";
    call.url = "http://" + address + "/v1/entries";
    call.timeout = milliseconds(1000);
    call.connection = connection_use::kept;
    const auto answer = CallAndWait(client_, std::move(call));
    const auto body = json::parse(answer.body, nullptr, false);
    if (answer.status != kStatusOk || !body.is_object()) {
      continue;
    }
    for (const auto& entry : body["entries"]) {
      out.entries.push_back({entry["address"], entry["weight"]});
    }
    out.lifetime = milliseconds(body.value("ttl_ms", 1000));
    return out;
  }
  return out;
}

auto load_run::ApplyDirectory(const directory_answer& answer, mono_time now)
    -> void {
  if (!answer.entries.empty()) {
    entries_ = answer.entries;
  }
  if (entries_.empty()) {
    throw ebony_error(error_kind::backend_unreachable,
                      "no entry answered the directory request");
  }
  directory_expiry_ = now + std::max(answer.lifetime, kMinDirectoryLifetime);
}

auto load_run::LoadModels() -> void {
  if (!settings_.model().empty()) {
    models_ = {settings_.model()};
  } else {
    auto call = http_call();
    call.method = "GET";
    call.url = "http://" + PickEntry() + "/v1/models";
    call.connection = GetConnectionUse();
    const auto answer = CallAndWait(client_, std::move(call));
    const auto body = json::parse(answer.body, nullptr, false);
    if (answer.status != kStatusOk || !body.is_object()) {
      throw ebony_error(error_kind::backend_unreachable,
                        "cannot fetch the list of models");
    }
    for (const auto& model : body["data"]) {
      models_.push_back(model["id"]);
    }
  }
  if (models_.empty()) {
    throw ebony_error(error_kind::unknown_model, "no models are declared");
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

auto load_run::Plan(std::uint64_t number) -> std::shared_ptr<planned_request> {
  auto call = std::make_shared<planned_request>();
  auto percent = std::uniform_int_distribution<std::uint32_t>(0, 99);
  auto pick = std::discrete_distribution<std::size_t>(popularity_.begin(),
                                                      popularity_.end());
  call->tag =
      "r" + std::to_string(settings_.seed()) + "n" + std::to_string(number);
  const auto class_draw = percent(random_);
  const auto limit = duration(milliseconds(settings_.timeout_ms()));
  if (class_draw < 20) {
    call->class_name = "urgent";
    call->urgency = "u=0";
    call->limit = limit / 2;
  } else if (class_draw < 75) {
    call->class_name = "interactive";
    call->urgency = "u=3";
    call->limit = limit;
  } else {
    call->class_name = "batch";
    call->urgency = "u=6";
    call->limit = limit * 4;
  }
  if (percent(random_) < settings_.keyed_percent()) {
    // Runs with the same seed must not share keys.
    call->key = "key-" + std::to_string(run_nonce_) + "-" + call->tag;
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
      {{{"role", "system"},
        {"content", "context " + std::to_string(class_draw % 8)}},
       {{"role", "user"}, {"content", call->tag + " describe the item"}}});
  call->body = body.dump();
  return call;
}

auto load_run::Send(const std::shared_ptr<planned_request>& call) -> void {
  auto out = http_call();
  out.url = "http://" + call->entry + call->path;
  out.body = call->body;
  out.timeout = call->limit + kNetworkAllowance + milliseconds(1000);
  // A request with a key may run only once.
  out.connection = call->key.empty() ? GetConnectionUse() : connection_use::own;
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
  ++call->attempts;
  client_.Call(std::move(out));
}

auto load_run::OnData(planned_request& call, std::string_view bytes) -> void {
  const auto now = GetNow();
  const auto is_events =
      call.headers["content-type"].rfind("text/event-stream", 0) == 0;
  if (!is_events) {
    call.text.append(bytes);
    return;
  }
  call.reader.Feed(bytes, [this, &call, now](const sse_event& event) {
    if (event.data == "[DONE]") {
      call.has_done_event = true;
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
      report_.first_token_ms.push_back(ToMs(now - call.started));
    } else {
      report_.token_gap_ms.push_back(ToMs(now - call.last_token));
    }
    call.last_token = now;
  });
}

auto load_run::Classify(planned_request& call, transfer_result end) -> void {
  const auto took = GetNow() - call.started;
  if (call.error_event.is_object() && call.error_event.contains("error")) {
    ++report_.rejected;
    ++report_.rejections_by_code[call.error_event["error"].value("code", "?")];
    report_.late_rejections += took > call.limit + kNetworkAllowance ? 1 : 0;
    return;
  }
  if (end != transfer_result::completed) {
    ++(end == transfer_result::not_sent ? report_.unreachable
                                        : report_.truncated);
    return;
  }
  if (call.status != kStatusOk) {
    const auto body = json::parse(call.text, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
      ++report_.mismatched;
      return;
    }
    ++report_.rejected;
    ++report_.rejections_by_code[body["error"].value("code", "?")];
    report_.late_rejections += took > call.limit + kNetworkAllowance ? 1 : 0;
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
  const auto is_terminated = !call.is_stream || call.has_done_event;
  if (got != expected || !is_terminated) {
    ++report_.mismatched;
    return;
  }
  ++report_.complete;
  if (took <= call.limit) {
    ++report_.in_time;
    ++report_.in_time_by_class[call.class_name];
  }
}

auto load_run::OnEnd(const std::shared_ptr<planned_request>& call,
                     transfer_result end) -> void {
  const auto lock = std::lock_guard(mutex_);
  // The request was not sent, so retrying it at another entry cannot run it
  // twice.
  if (end == transfer_result::not_sent && call->attempts < kMaxAttempts) {
    call->entry = PickEntry();
    Send(call);
    return;
  }
  Classify(*call, end);
  --in_flight_;
}

auto load_run::GetRate(duration elapsed) const -> double {
  const auto second =
      std::chrono::duration_cast<std::chrono::seconds>(elapsed).count();
  return settings_.burst() && second % 3 == 2 ? settings_.rate() * kBurstFactor
                                              : settings_.rate();
}

auto load_run::FetchBackendCounts() -> void {
  auto call = http_call();
  call.method = "GET";
  call.url = "http://" + settings_.judge() + "/report";
  call.connection = connection_use::kept;
  const auto answer = CallAndWait(client_, std::move(call));
  const auto body = json::parse(answer.body, nullptr, false);
  if (answer.status != kStatusOk || !body.is_object()) {
    throw ebony_error(error_kind::backend_unreachable,
                      "the fake backend servers did not answer the "
                      "report request");
  }
  report_.duplicate_runs = body.value("doubled_keys", std::uint64_t{0});
  report_.overfilling_orders = body.value("overfilled", std::uint64_t{0});
  for (const auto& key : report_.not_run_keys) {
    report_.false_not_run += body["runs"].contains(key) ? 1 : 0;
  }
}

auto load_run::Run() -> load_report {
  ApplyDirectory(FetchDirectory(), GetNow());
  LoadModels();
  const auto begin = GetNow();
  const auto end = begin + std::chrono::seconds(settings_.seconds());
  auto gap = std::exponential_distribution<double>(1);
  auto next = begin;
  auto number = std::uint64_t{0};
  while (next < end) {
    while (GetNow() < next) {
      std::this_thread::sleep_for(kPollInterval);
    }
    auto call = std::shared_ptr<planned_request>();
    {
      const auto lock = std::lock_guard(mutex_);
      call = Plan(number++);
      call->entry = PickEntry();
      ++in_flight_;
      ++report_.sent;
      ++report_.sent_by_class[call->class_name];
    }
    call->started = GetNow();
    Send(call);
    next += std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(gap(random_) / GetRate(next - begin)));
    if (GetNow() >= directory_expiry_) {
      // The callbacks of answers take the lock, so it is not held during the
      // directory request.
      const auto directory = FetchDirectory();
      const auto lock = std::lock_guard(mutex_);
      ApplyDirectory(directory, GetNow());
    }
  }
  const auto drain_deadline = GetNow() + kDrainTimeout;
  for (;;) {
    {
      const auto lock = std::lock_guard(mutex_);
      if (in_flight_ == 0 || GetNow() >= drain_deadline) {
        break;
      }
    }
    std::this_thread::sleep_for(milliseconds(10));
  }
  if (!settings_.judge().empty()) {
    FetchBackendCounts();
  }
  client_.Stop();
  report_.unreachable += in_flight_;
  return report_;
}

auto HasViolation(const load_report& report) -> bool {
  return report.mismatched + report.late_rejections + report.duplicate_runs +
             report.false_not_run + report.overfilling_orders >
         0;
}

auto RenderLoadReport(const load_report& report, double seconds)
    -> std::string {
  auto out = json();
  out["seconds"] = seconds;
  out["sent"] = report.sent;
  out["whole"] = report.complete;
  out["in_time"] = report.in_time;
  out["attainment"] = report.sent == 0 ? 0.0
                                       : static_cast<double>(report.in_time) /
                                             static_cast<double>(report.sent);
  out["refused"] = report.rejected;
  out["refusals"] = report.rejections_by_code;
  out["cut"] = report.truncated;
  out["unreached"] = report.unreachable;
  out["wrong"] = report.mismatched;
  out["held_back"] = report.late_rejections;
  out["first_token_ms"] = {{"p50", GetQuantile(report.first_token_ms, 0.5)},
                           {"p95", GetQuantile(report.first_token_ms, 0.95)},
                           {"p99", GetQuantile(report.first_token_ms, 0.99)}};
  out["token_gap_ms"] = {{"p50", GetQuantile(report.token_gap_ms, 0.5)},
                         {"p95", GetQuantile(report.token_gap_ms, 0.95)},
                         {"p99", GetQuantile(report.token_gap_ms, 0.99)}};
  for (const auto& [class_name, sent] : report.sent_by_class) {
    const auto found = report.in_time_by_class.find(class_name);
    const auto in_time =
        found == report.in_time_by_class.end() ? 0 : found->second;
    out["attainment_by_class"][class_name] =
        static_cast<double>(in_time) / static_cast<double>(sent);
  }
  out["doubled"] = report.duplicate_runs;
  out["untrue"] = report.false_not_run;
  out["overfilled"] = report.overfilling_orders;
  out["not_run_keys"] = report.not_run_keys;
  return out.dump();
}

}  // namespace ebony
