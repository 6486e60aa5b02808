// The control daemon's HTTP interface for operators.

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "codec/record_codec.h"
#include "main/control_daemon.h"

namespace ebony {

namespace {

using json = nlohmann::ordered_json;
using std::chrono::milliseconds;

// Time limit for the outcome of a change.
constexpr auto kChangeTimeout = milliseconds(10000);
// Time limit for the quorum to confirm this leader.
constexpr auto kReadTimeout = milliseconds(2000);
const auto kJsonHeaders = header_map{{"Content-Type", "application/json"}};
constexpr const char* kRecordsPath = "/v1/records/";
constexpr const char* kBackendsPath = "/v1/backends/";
constexpr const char* kModelsPath = "/v1/models/";

auto StartsWith(const std::string& text, const std::string& prefix) -> bool {
  return text.rfind(prefix, 0) == 0;
}

auto DecodePercent(const std::string& text) -> std::string {
  auto out = std::string();
  for (auto i = std::size_t{0}; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      auto code = 0U;
      std::from_chars(text.data() + i + 1, text.data() + i + 3, code, 16);
      out.push_back(static_cast<char>(code));
      i += 2;
    } else {
      out.push_back(text[i]);
    }
  }
  return out;
}

auto ParseRevision(const std::string& text) -> revision_number {
  auto value = std::uint64_t{0};
  const auto* end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  if (text.empty() || result.ptr != end) {
    throw ebony_error(error_kind::invalid_request,
                      "revision: '" + text + "' must be a number");
  }
  return revision_number(value);
}

auto GetChangeId(const http_request& request) -> change_id {
  const auto key = request.GetHeader("idempotency-key");
  if (key.empty() || key.size() > 128) {
    throw ebony_error(error_kind::invalid_request,
                      "Idempotency-Key: required, 1 to 128 characters; a "
                      "retry of the same change must use the same key");
  }
  return change_id(key);
}

auto MakeResidentsJson(const std::vector<resident>& residents) -> json {
  auto list = json::array();
  for (const auto& item : residents) {
    list.push_back(item.key.model.get() + "@" + item.key.version.get());
  }
  return list;
}

auto MakeAcceleratorJson(const accelerator_ledger& ledger) -> json {
  auto out = json();
  out["capacity_mib"] = ledger.get_capacity().get();
  out["promised_mib"] = ledger.GetWorstCase().get();
  out["resident"] = MakeResidentsJson(ledger.get_confirmed());
  if (ledger.get_open()) {
    out["open_order"]["id"] = ledger.get_open()->id.get();
    out["open_order"]["reason"] = ledger.get_open()->reason;
    out["open_order"]["target"] = MakeResidentsJson(ledger.get_open()->target);
  }
  return out;
}

auto MakeBackendJson(const backend_state& entry) -> json {
  auto out = json();
  out["name"] = entry.info.name.get();
  out["data_centre"] = entry.info.data_centre.get();
  out["address"] = entry.info.address.get();
  out["suspected"] = entry.suspected;
  out["leaving"] = entry.is_leaving();
  out["checks_fencing"] = entry.info.checks_fencing;
  out["accelerators"] = json::array();
  for (const auto& ledger : entry.accelerators) {
    out["accelerators"].push_back(MakeAcceleratorJson(ledger));
  }
  return out;
}

auto MakeRecordJson(const record_state& entry) -> json {
  auto out = json::parse(RenderJson(ToSchema(entry.accepted)));
  out["in_effect"] = entry.has_effective &&
                     entry.effective.revision == entry.accepted.revision;
  return out;
}

}  // namespace

auto control_daemon::OnHttp(http_request request,
                            const exchange_pointer& exchange) -> void {
  if (request.path == "/healthz") {
    exchange->Respond(failed_ ? 500 : 200, {}, failed_ ? "failed\n" : "ok\n");
    return;
  }
  if (!operator_keys_.empty() &&
      FindKeyName(operator_keys_, request.GetHeader("authorization")).empty()) {
    metrics_.Count("ebony_control_refused_calls_total");
    throw ebony_error(error_kind::unauthenticated,
                      "an operator's API key is required");
  }
  if (request.path == "/metrics") {
    exchange->Respond(200, {{"Content-Type", "text/plain"}}, metrics_.Render());
    return;
  }
  if (!events_.Push(operator_call{std::move(request), exchange})) {
    throw ebony_error(error_kind::overloaded, "too many pending calls");
  }
}

auto control_daemon::OnOperatorCall(const operator_call& call) -> void {
  const auto& request = call.request;
  try {
    if (request.path == "/v1/leader" && request.method == "GET") {
      auto out = json();
      out["vm"] = settings_.vm();
      out["leader"] = GetLeaderVm();
      out["is_leader"] = leader_ != nullptr;
      out["term"] = raft_->get_term().get();
      out["applied"] = applied_.get();
      call.exchange->Respond(200, kJsonHeaders, out.dump() + "\n");
      return;
    }
    if (!leader_) {
      throw ebony_error(error_kind::not_leader,
                        "this control VM is not the leader; the leader is '" +
                            GetLeaderVm() + "'");
    }
    if (request.method == "GET") {
      EnqueueRead(call);
      return;
    }
    if (StartsWith(request.path, kRecordsPath)) {
      const auto name =
          DecodePercent(request.path.substr(std::string(kRecordsPath).size()));
      const auto id = GetChangeId(request);
      if (request.method == "PUT") {
        const auto is_binary =
            request.GetHeader("content-type") == "application/x-protobuf";
        auto content = is_binary ? ParseRecordBinary(request.body)
                                 : ParseRecordJson(request.body);
        if (content.name.get() != name) {
          throw ebony_error(error_kind::invalid_request,
                            "name: '" + content.name.get() +
                                "' in the record differs from '" + name +
                                "' in the URL");
        }
        StartChange(call, id, record_name(name),
                    put_record_command{id, std::move(content)});
        return;
      }
      if (request.method == "DELETE") {
        const auto given = request.query.find("revision");
        const auto revision =
            ParseRevision(given == request.query.end() ? "" : given->second);
        StartChange(call, id, record_name(name),
                    delete_record_command{id, record_name(name), revision});
        return;
      }
    }
    if (StartsWith(request.path, kBackendsPath) && request.method == "POST") {
      const auto rest = request.path.substr(std::string(kBackendsPath).size());
      const auto slash = rest.rfind('/');
      const auto action =
          slash == std::string::npos ? "" : rest.substr(slash + 1);
      if (action == "drain" || action == "undrain") {
        const auto id = GetChangeId(request);
        StartChange(call, id, record_name(),
                    drain_backend_command{
                        id, backend_name(DecodePercent(rest.substr(0, slash))),
                        action == "drain"});
        return;
      }
    }
    throw ebony_error(
        error_kind::not_found,
        request.method + " " + request.path + ": no such operation");
  } catch (const ebony_error& error) {
    RespondError(*call.exchange, error.get_kind(), error.get_ran(),
                 error.what());
  }
}

auto control_daemon::StartChange(const operator_call& call,
                                 const change_id& id,
                                 const record_name& record,
                                 const control_command& command) -> void {
  if (!Propose(command)) {
    throw ebony_error(error_kind::not_leader,
                      "this control VM is not the leader");
  }
  auto change = pending_change();
  change.exchange = call.exchange;
  change.record = record;
  const auto wait = call.request.query.find("wait");
  change.wait_in_force =
      wait != call.request.query.end() && wait->second == "in_force";
  change.deadline = GetNow() + kChangeTimeout;
  leader_->changes.emplace(id, std::move(change));
}

// After a revision conflict the message includes the current content.
auto control_daemon::DescribeRejection(const pending_change& change) const
    -> std::string {
  auto text = change.outcome->message;
  if (change.outcome->error == error_kind::revision_conflict) {
    const auto current = RenderRecord(change.record);
    text += current.empty() ? "; the record is deleted"
                            : "; current content: " + current;
  }
  return text;
}

auto control_daemon::EnqueueRead(const operator_call& call) -> void {
  const auto path = call.request.path;
  const auto exchange = call.exchange;
  auto serve = [this, path, exchange]() -> void {
    auto body = std::string();
    if (path == "/v1/status") {
      body = RenderStatus();
    } else if (path == "/v1/records") {
      body = RenderRecords();
    } else if (StartsWith(path, kRecordsPath)) {
      body = RenderRecord(record_name(
          DecodePercent(path.substr(std::string(kRecordsPath).size()))));
    } else if (StartsWith(path, kModelsPath)) {
      body = RenderModel(model_name(
          DecodePercent(path.substr(std::string(kModelsPath).size()))));
    }
    if (body.empty()) {
      RespondError(*exchange, error_kind::not_found, ran_state::no,
                   path + ": not found");
      return;
    }
    exchange->Respond(200, kJsonHeaders, body + "\n");
  };
  auto reject = [exchange]() -> void {
    RespondError(*exchange, error_kind::not_leader, ran_state::no,
                 "the leadership was not confirmed in time");
  };
  leader_->reads.push_back({raft_->get_next_round(), GetNow() + kReadTimeout,
                            std::move(serve), std::move(reject)});
}

auto control_daemon::RenderStatus() const -> std::string {
  auto out = json();
  const auto& data = state_.get_data();
  out["leader"] = GetLeaderVm();
  out["term"] = raft_->get_term().get();
  out["commit"] = raft_->get_commit_index().get();
  out["version"] = data.version.get();
  for (const auto& id : raft_->get_group().voters) {
    out["voters"].push_back(id.get());
  }
  for (const auto& id : raft_->get_group().learners) {
    out["learners"].push_back(id.get());
  }
  out["entries_behind"] = json::array();
  for (const auto& entry : leader_->leases.GetStaleEntries(data.version)) {
    out["entries_behind"].push_back(entry.get());
  }
  out["backend_servers"] = json::array();
  for (const auto& [name, entry] : data.backends) {
    out["backend_servers"].push_back(MakeBackendJson(entry));
  }
  out["at_risk"] = json::array();
  for (const auto& risk : leader_->risks) {
    out["at_risk"].push_back(
        {{"model", risk.model.get()}, {"reason", risk.reason}});
  }
  return out.dump();
}

auto control_daemon::RenderRecords() const -> std::string {
  auto out = json::array();
  for (const auto& [name, entry] : state_.get_data().records) {
    if (!entry.deleted) {
      out.push_back(MakeRecordJson(entry));
    }
  }
  return json{{"records", out}}.dump();
}

auto control_daemon::RenderRecord(const record_name& name) const
    -> std::string {
  const auto found = state_.get_data().records.find(name);
  if (found == state_.get_data().records.end() || found->second.deleted) {
    return "";
  }
  return MakeRecordJson(found->second).dump();
}

auto control_daemon::RenderModel(const model_name& name) const -> std::string {
  auto out = json();
  out["model"] = name.get();
  out["replicas"] = json::array();
  out["moving"] = json::array();
  const auto holds = [&name](const std::vector<resident>& residents) -> bool {
    return std::any_of(
        residents.begin(), residents.end(),
        [&name](const resident& item) { return item.key.model == name; });
  };
  for (const auto& [backend, entry] : state_.get_data().backends) {
    for (auto i = std::size_t{0}; i < entry.accelerators.size(); ++i) {
      const auto& ledger = entry.accelerators[i];
      const auto place = backend.get() + "/" + std::to_string(i);
      if (holds(ledger.get_confirmed())) {
        out["replicas"].push_back(
            {{"place", place},
             {"data_centre", entry.info.data_centre.get()},
             {"usable", entry.is_usable()},
             {"resident", MakeResidentsJson(ledger.get_confirmed())}});
      }
      if (ledger.get_open() &&
          holds(ledger.get_open()->target) != holds(ledger.get_confirmed())) {
        out["moving"].push_back({{"place", place},
                                 {"order", ledger.get_open()->id.get()},
                                 {"reason", ledger.get_open()->reason}});
      }
    }
  }
  for (const auto& risk : leader_->risks) {
    if (risk.model == name) {
      out["at_risk"] = risk.reason;
    }
  }
  return out.dump();
}

}  // namespace ebony
