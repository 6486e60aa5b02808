#include "fakes/fake_fleet.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/record_codec.h"
#include "drivers/wakeup_event.h"

namespace ebony {

namespace {

using json = nlohmann::ordered_json;

// Time between simulation steps.
constexpr auto kTick = std::chrono::milliseconds(2);
constexpr std::size_t kClientCapacity = 4096;
constexpr std::size_t kEntriesPerAnnouncement = 2;

// Returns a numeric query parameter, or 0 when it is missing.
auto GetNumber(const http_request& request, const std::string& name)
    -> std::uint32_t {
  const auto found = request.query.find(name);
  auto value = std::uint32_t{0};
  if (found != request.query.end()) {
    std::from_chars(found->second.data(),
                    found->second.data() + found->second.size(), value);
  }
  return value;
}

auto MakeIncarnation() -> incarnation {
  return incarnation(static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count()));
}

}  // namespace

fake_fleet::fake_fleet(fake_fleet_options options)
    : options_(std::move(options)),
      store_(options_.loads_per_second,
             options_.loads_at_full_speed,
             options_.load_time),
      client_(kClientCapacity),
      thread_([this] { Run(); }) {}

fake_fleet::~fake_fleet() {
  Stop();
}

auto fake_fleet::Add(const fake_engine_options& options) -> fake_engine& {
  auto hosted = hosted_engine();
  hosted.engine =
      std::make_unique<fake_engine>(options, store_, MakeIncarnation());
  auto* engine = hosted.engine.get();
  hosted.server = std::make_unique<http_server>(
      http_server_options{.address = host_port("127.0.0.1:0"), .threads = 1},
      [engine](http_request request, const exchange_pointer& exchange) {
        engine->Handle(std::move(request), exchange);
      });
  hosted.entry = engines_.size();
  engines_.push_back(std::move(hosted));
  return *engine;
}

auto fake_fleet::Start() -> void {
  client_.Start();
  for (auto& hosted : engines_) {
    hosted.server->Start();
  }
  if (!options_.admin_address.get().empty()) {
    admin_ = std::make_unique<http_server>(
        http_server_options{.address = options_.admin_address, .threads = 1},
        [this](const http_request& request, const exchange_pointer& exchange) {
          HandleAdminCall(request, exchange);
        });
    admin_->Start();
  }
  thread_.Start();
}

auto fake_fleet::Stop() -> void {
  if (stopping_.exchange(true)) {
    return;
  }
  thread_.Join();
  if (admin_) {
    admin_->Stop();
  }
  for (auto& hosted : engines_) {
    hosted.server->Stop();
  }
  client_.Stop();
}

auto fake_fleet::Post(const hosted_engine& hosted,
                      std::size_t entry,
                      const std::string& body) -> void {
  auto call = http_call();
  call.url = "http://" +
             options_.entries[entry % options_.entries.size()].get() +
             "/v1/announcements";
  call.body = body;
  call.headers = {"Content-Type: application/json"};
  if (!options_.backend_key.empty()) {
    call.headers.push_back("Authorization: Bearer " + options_.backend_key);
  }
  call.timeout = std::chrono::milliseconds(1000);
  call.connection = connection_use::kept;
  const auto index = static_cast<std::size_t>(&hosted - engines_.data());
  call.callbacks.on_end = [this, index, entry](transfer_result end,
                                               const std::string&) {
    // After a failure the next announcement goes to the following entries.
    if (end != transfer_result::completed) {
      auto& next_entry = engines_[index].entry;
      next_entry = std::max(next_entry, entry + 1);
    }
  };
  client_.Call(std::move(call));
}

auto fake_fleet::Announce(hosted_engine& hosted) -> void {
  const auto address =
      host_port("127.0.0.1:" + std::to_string(hosted.server->get_port()));
  const auto body = RenderJson(ToSchema(hosted.engine->Announce(address)));
  const auto entry_count =
      std::min(kEntriesPerAnnouncement, options_.entries.size());
  for (auto i = std::size_t{0}; i < entry_count; ++i) {
    Post(hosted, hosted.entry + i, body);
  }
}

auto fake_fleet::Run() -> void {
  auto wake = wakeup_event();
  while (!stopping_) {
    wake.Wait(kTick);
    const auto now = GetNow();
    for (auto& hosted : engines_) {
      hosted.engine->Advance(now);
      if (now >= hosted.next_announcement) {
        hosted.next_announcement = now + options_.announce_interval;
        Announce(hosted);
        hosted.server->DropDisconnectedCallers();
      }
    }
  }
}

auto fake_fleet::HandleAdminCall(const http_request& request,
                                 const exchange_pointer& exchange) -> void {
  if (request.path == "/report") {
    exchange->Respond(200, {{"Content-Type", "application/json"}},
                      RenderReport() + "\n");
    return;
  }
  const auto named = request.query.find("engine");
  for (auto& hosted : engines_) {
    const auto is_selected = named == request.query.end() ||
                             named->second == hosted.engine->get_name().get();
    if (!is_selected) {
      continue;
    }
    if (request.path == "/restart") {
      hosted.engine->Restart(MakeIncarnation());
    } else if (request.path == "/leave") {
      hosted.engine->SetLeaving(true);
    } else if (request.path == "/faults") {
      auto faults = fake_engine_faults();
      faults.cut_after_tokens = GetNumber(request, "cut_after_tokens");
      faults.is_stalled = GetNumber(request, "stalled") != 0;
      faults.loses_orders = GetNumber(request, "loses_orders") != 0;
      faults.repeats_orders = GetNumber(request, "repeats_orders") != 0;
      faults.cannot_resume = GetNumber(request, "cannot_resume") != 0;
      faults.fail_next = GetNumber(request, "fail_next");
      hosted.engine->SetFaults(faults);
    }
  }
  exchange->Respond(200, {}, "done\n");
}

auto fake_fleet::RenderReport() -> std::string {
  auto out = json();
  auto served = std::uint64_t{0};
  auto overfilled = std::uint64_t{0};
  auto loads = std::uint64_t{0};
  auto unloads = std::uint64_t{0};
  auto runs = std::map<std::string, int>();
  for (const auto& hosted : engines_) {
    served += hosted.engine->get_served();
    overfilled += hosted.engine->get_overfilled();
    loads += hosted.engine->get_loads();
    unloads += hosted.engine->get_unloads();
    for (const auto& [key, count] : hosted.engine->get_runs()) {
      runs[key] += count;
    }
  }
  const auto duplicated =
      std::count_if(runs.begin(), runs.end(),
                    [](const auto& item) { return item.second > 1; });
  out["engines"] = engines_.size();
  out["served"] = served;
  out["overfilled"] = overfilled;
  out["loads"] = loads;
  out["unloads"] = unloads;
  out["keys"] = runs.size();
  out["doubled_keys"] = duplicated;
  out["runs"] = runs;
  return out.dump();
}

}  // namespace ebony
