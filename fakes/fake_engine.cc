#include "fakes/fake_engine.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/record_codec.h"
#include "control/memory_ledger.h"
#include "core/hashing.h"
#include "drivers/wakeup_event.h"

namespace ebony {

namespace {

using json = nlohmann::ordered_json;

constexpr std::uint32_t kMaxTokens = 4096;  // per request
constexpr std::size_t kMaxQueued = 256;     // requests
const auto kJsonHeaders = header_map{{"Content-Type", "application/json"}};

// Returns the tag of the request, which is the first word of its prompt.
auto GetTag(const json& body) -> std::string {
  auto text = std::string();
  if (body.contains("prompt") && body["prompt"].is_string()) {
    text = body["prompt"].get<std::string>();
  } else if (body.contains("messages") && !body["messages"].empty()) {
    text = body["messages"].back().value("content", "");
  }
  return text.substr(0, text.find(' '));
}

// Returns the server-sent event of one token.
auto MakeChunk(const std::string& model,
               const std::string& text,
               std::uint64_t id) -> std::string {
  auto chunk = json();
  chunk["object"] = "chat.completion.chunk";
  chunk["model"] = model;
  chunk["choices"] = json::array(
      {{{"index", 0}, {"delta", {{"content", text}}}, {"text", text}}});
  return "id: " + std::to_string(id) + "\ndata: " + chunk.dump() + "\n\n";
}

// Returns the urgency of RFC 9218, or its default 3.
auto ParseUrgency(const std::string& text) -> int {
  return text.size() >= 3 && text.rfind("u=", 0) == 0 ? text[2] - '0' : 3;
}

}  // namespace

fake_engine::fake_engine(fake_engine_options options,
                         fake_weight_store& store,
                         incarnation run)
    : options_(std::move(options)), store_(store), run_(run) {
  for (const auto capacity : options_.accelerators) {
    auto accelerator = accelerator_state();
    accelerator.capacity = capacity;
    accelerators_.push_back(std::move(accelerator));
  }
}

auto fake_engine::GetLoadHeader() const -> std::string {
  return "running=" + std::to_string(running_.size()) +
         ",queued=" + std::to_string(queued_.size());
}

auto fake_engine::IsModelResident(const std::string& model) const -> bool {
  const auto name = model.substr(0, model.find(':'));
  const auto colon = model.find(':');
  for (const auto& accelerator : accelerators_) {
    for (const auto& item : accelerator.residents) {
      if (item.key.model.get() != name) {
        continue;
      }
      const auto has_adapter =
          colon == std::string::npos ||
          std::any_of(item.adapters.begin(), item.adapters.end(),
                      [&](const adapter_spec& adapter) {
                        return adapter.key.name.get() ==
                               model.substr(colon + 1);
                      });
      if (has_adapter) {
        return true;
      }
    }
  }
  return false;
}

auto fake_engine::Handle(http_request request, const exchange_pointer& exchange)
    -> void {
  const auto lock = std::lock_guard(mutex_);
  if (request.path == "/v1/orders") {
    HandleOrder(request, exchange);
  } else if (request.path == "/v1/chat/completions" ||
             request.path == "/v1/completions") {
    HandleCompletion(std::move(request), exchange);
  } else {
    HandleServiceCall(request, exchange);
  }
}

auto fake_engine::HandleCompletion(http_request request,
                                   const exchange_pointer& exchange) -> void {
  const auto body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    exchange->Respond(400, kJsonHeaders,
                      "{\"error\":\"the body is not a JSON object\"}\n");
    return;
  }
  const auto model = body.value("model", "");
  if (!IsModelResident(model)) {
    exchange->Respond(503, kJsonHeaders,
                      "{\"error\":\"the model is not resident\"}\n");
    return;
  }
  if (queued_.size() >= kMaxQueued) {
    exchange->Respond(429, kJsonHeaders, "{\"error\":\"the queue is full\"}\n");
    return;
  }
  const auto key = request.GetHeader("idempotency-key");
  if (!key.empty()) {
    ++runs_[key];
  }
  if (faults_.fail_next > 0) {
    --faults_.fail_next;
    exchange->Respond(500, kJsonHeaders, "{\"error\":\"injected failure\"}\n");
    return;
  }
  auto item = running_request();
  item.exchange = exchange;
  item.tag = GetTag(body);
  item.model = model;
  item.urgency = ParseUrgency(request.GetHeader("priority"));
  item.is_stream = body.value("stream", false);
  item.tokens = std::min(body.value("max_tokens", 16U), kMaxTokens);
  item.prefix = HashBytes(request.body.substr(0, 128));
  const auto resume = request.GetHeader("last-event-id");
  if (!resume.empty() && !faults_.cannot_resume) {
    auto last = std::uint32_t{0};
    std::from_chars(resume.data(), resume.data() + resume.size(), last);
    item.next_token = last + 1;
  }
  // The queue is sorted by urgency, then by arrival.
  const auto position = std::find_if(
      queued_.begin(), queued_.end(),
      [&item](const auto& other) { return other.urgency > item.urgency; });
  queued_.insert(position, std::move(item));
}

auto fake_engine::HandleServiceCall(const http_request& request,
                                    const exchange_pointer& exchange) -> void {
  const auto key = request.GetHeader("idempotency-key");
  if (!key.empty()) {
    ++runs_[key];
  }
  ++served_;
  auto out = json();
  out["service_path"] = request.path;
  out["echo"] = request.body;
  exchange->Respond(200,
                    {{"Content-Type", "application/json"},
                     {"X-Engine-Load", GetLoadHeader()}},
                    out.dump() + "\n");
}

auto fake_engine::HandleOrder(const http_request& request,
                              const exchange_pointer& exchange) -> void {
  if (!options_.order_key.empty() &&
      request.GetHeader("authorization") != "Bearer " + options_.order_key) {
    exchange->Respond(401, kJsonHeaders,
                      "{\"error\":\"the order key is missing or wrong\"}\n");
    return;
  }
  const auto next = ParseOrderJson(request.body);
  if (next.accelerator.get() >= accelerators_.size()) {
    exchange->Respond(400, kJsonHeaders, "{\"error\":\"accelerator\"}\n");
    return;
  }
  auto& accelerator = accelerators_[next.accelerator.get()];
  if (options_.checks_fencing && next.id < accelerator.highest_order) {
    exchange->Respond(409, kJsonHeaders,
                      "{\"error\":\"the order id is stale\"}\n");
    return;
  }
  if (faults_.loses_orders) {
    exchange->Abort();
    return;
  }
  ApplyOrder(accelerator, next, GetNow());
  exchange->Respond(202, kJsonHeaders, "{\"accepted\":true}\n");
}

auto fake_engine::ApplyOrder(accelerator_state& accelerator,
                             const order& next,
                             mono_time now) -> void {
  const auto is_known =
      accelerator.applied == next.id ||
      (accelerator.loading && accelerator.loading->id == next.id);
  if (is_known && !faults_.repeats_orders) {
    return;
  }
  accelerator.highest_order = std::max(accelerator.highest_order, next.id);
  // During a load the accelerator needs memory for the old and the new state.
  const auto combined = MergeResidents(accelerator.residents, next.target);
  overfilled_ += SumMemory(combined) > accelerator.capacity ? 1 : 0;
  const auto needs_load =
      SumMemory(combined) > SumMemory(accelerator.residents);
  if (accelerator.uses_store) {
    store_.End();
  }
  accelerator.loading = next;
  accelerator.uses_store = needs_load;
  accelerator.loading_until = needs_load ? store_.Begin(now) : now;
  loads_ += needs_load ? 1 : 0;
  unloads_ += SumMemory(combined) > SumMemory(next.target) ? 1 : 0;
}

auto fake_engine::AdvanceLoads(mono_time now) -> void {
  for (auto& accelerator : accelerators_) {
    if (!accelerator.loading || now < accelerator.loading_until) {
      continue;
    }
    accelerator.residents = accelerator.loading->target;
    accelerator.applied = accelerator.loading->id;
    accelerator.loading.reset();
    if (std::exchange(accelerator.uses_store, false)) {
      store_.End();
    }
  }
}

auto fake_engine::StartQueued(mono_time now) -> void {
  while (running_.size() < options_.slots && !queued_.empty()) {
    auto item = std::move(queued_.front());
    queued_.pop_front();
    const auto cached = std::find(prefixes_.begin(), prefixes_.end(),
                                  item.prefix) != prefixes_.end();
    if (!cached) {
      prefixes_.push_back(item.prefix);
      if (prefixes_.size() > options_.cached_prefixes) {
        prefixes_.pop_front();
      }
    }
    item.next_time = now + (cached ? options_.prefill / 10 : options_.prefill);
    running_.push_back(std::move(item));
  }
}

// Generates the next token. Returns true when the request has ended.
auto fake_engine::EmitToken(running_request& request) -> bool {
  const auto text =
      request.tag + "." + std::to_string(request.next_token) + " ";
  if (!request.is_started) {
    request.is_started = true;
    if (request.is_stream) {
      request.exchange->StartStream(
          200, {{"Content-Type", "text/event-stream"},
                {"X-Engine-Load", GetLoadHeader()},
                {"X-Resumed-After", std::to_string(request.next_token - 1)}});
    }
  }
  if (request.is_stream) {
    request.exchange->Write(MakeChunk(request.model, text, request.next_token));
  } else {
    request.text += text;
  }
  if (faults_.cut_after_tokens != 0 &&
      request.next_token == faults_.cut_after_tokens) {
    request.exchange->Abort();
    return true;
  }
  if (request.next_token++ < request.tokens) {
    return false;
  }
  ++served_;
  if (request.is_stream) {
    request.exchange->Write("id: " + std::to_string(request.next_token) +
                            "\ndata: [DONE]\n\n");
    request.exchange->Finish();
    return true;
  }
  auto out = json();
  out["object"] = "chat.completion";
  out["model"] = request.model;
  out["choices"] = json::array(
      {{{"index", 0},
        {"message", {{"role", "assistant"}, {"content", request.text}}},
        {"text", request.text}}});
  request.exchange->Respond(200,
                            {{"Content-Type", "application/json"},
                             {"X-Engine-Load", GetLoadHeader()}},
                            out.dump() + "\n");
  return true;
}

auto fake_engine::AdvanceTokens(mono_time now) -> void {
  const auto step =
      options_.token_base +
      options_.token_per_request * static_cast<duration::rep>(running_.size());
  for (auto item = running_.begin(); item != running_.end();) {
    auto is_finished = !item->exchange->is_open();
    while (!is_finished && item->next_time <= now) {
      item->next_time += step;
      is_finished = EmitToken(*item);
    }
    item = is_finished ? running_.erase(item) : std::next(item);
  }
  std::erase_if(queued_, [](const running_request& item) {
    return !item.exchange->is_open();
  });
}

auto fake_engine::Advance(mono_time now) -> void {
  const auto lock = std::lock_guard(mutex_);
  AdvanceLoads(now);
  if (faults_.is_stalled) {
    return;
  }
  StartQueued(now);
  AdvanceTokens(now);
}

auto fake_engine::Announce(const host_port& address) -> backend_announcement {
  const auto lock = std::lock_guard(mutex_);
  auto state = backend_announcement();
  state.name = options_.name;
  state.address = address;
  state.data_centre = options_.data_centre;
  state.run = run_;
  state.sequence = ++sequence_;
  for (const auto& accelerator : accelerators_) {
    state.accelerators.push_back(
        {accelerator.capacity, accelerator.residents, accelerator.applied});
  }
  state.services = options_.services;
  state.slots = options_.slots;
  state.software = options_.software;
  state.running = static_cast<std::uint32_t>(running_.size());
  state.queued = static_cast<std::uint32_t>(queued_.size());
  state.leaving = is_leaving_;
  state.checks_fencing = options_.checks_fencing;
  state.checks_sender = !options_.order_key.empty();
  return state;
}

auto fake_engine::SetFaults(const fake_engine_faults& faults) -> void {
  const auto lock = std::lock_guard(mutex_);
  faults_ = faults;
}

auto fake_engine::SetLeaving(bool leaving) -> void {
  const auto lock = std::lock_guard(mutex_);
  is_leaving_ = leaving;
}

auto fake_engine::Restart(incarnation run) -> void {
  const auto lock = std::lock_guard(mutex_);
  run_ = run;
  sequence_ = 0;
  for (auto& accelerator : accelerators_) {
    if (accelerator.uses_store) {
      store_.End();
    }
    const auto capacity = accelerator.capacity;
    accelerator = accelerator_state();
    accelerator.capacity = capacity;
  }
  for (auto& item : running_) {
    item.exchange->Abort();
  }
  for (auto& item : queued_) {
    item.exchange->Abort();
  }
  running_.clear();
  queued_.clear();
}

auto fake_engine::get_runs() const -> std::map<std::string, int> {
  const auto lock = std::lock_guard(mutex_);
  return runs_;
}

auto fake_engine::get_served() const -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return served_;
}

auto fake_engine::get_overfilled() const -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return overfilled_;
}

auto fake_engine::get_loads() const -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return loads_;
}

auto fake_engine::get_unloads() const -> std::uint64_t {
  const auto lock = std::lock_guard(mutex_);
  return unloads_;
}

}  // namespace ebony
