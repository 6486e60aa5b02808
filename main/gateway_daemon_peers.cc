// How a gateway takes and hands over requests while it, or another one, reaches
// no server.

#include <utility>

#include "codec/handover_codec.h"
#include "main/gateway_daemon.h"
#include "main/peer_fields.h"
#include "platform/order_codec.h"
#include "platform/request_codec.h"

namespace ebony {

namespace {

// Requests of other gateways that are accepted at the same time.
constexpr std::size_t kMaxHandedOver = 512;
constexpr int kUnavailable = 503;

}  // namespace

auto gateway_daemon::MakePathHooks() -> path_monitor::hooks {
  return {[this] { OnPathsClosed(); },
          [this] { OnPathsOpened(); },
          [this] { ScheduleDispatch(); },
          [this] { return !peers_.get_peers().empty(); },
          [this](const backend_status& server) { return MakeProbe(server); },
          [this](const backend_status& server) {
            const auto* service = FindService(server);
            return service != nullptr && service->engine.has_value();
          },
          [this](std::uint64_t bound) { return random_() % bound; }};
}

auto gateway_daemon::FindService(const backend_status& server) const
    -> const service_spec* {
  return route_table_ == nullptr ? nullptr
                                 : route_table_->FindService(server.service);
}

auto gateway_daemon::MakeProbe(const backend_status& server) const
    -> std::string {
  const auto* service = FindService(server);
  if (service == nullptr) {
    return {};
  }
  if (service->engine) {
    return platform::RenderReportCall(server);
  }
  return service->health_path.empty()
             ? std::string()
             : platform::RenderHealthCall(server, service->health_path);
}

auto gateway_daemon::ApplyPeers(const schema::sync_answer& answer) -> void {
  if (answer.peers_digest() == peers_digest_) {
    return;
  }
  peers_digest_ = answer.peers_digest();
  peers_.SetPeers(GetPeers(answer));
  log_.Write(event_category::state, "peers_known",
             {{"count", static_cast<std::int64_t>(answer.peers_size())}});
}

auto gateway_daemon::DeclineHandover(const request_metadata& metadata,
                                     error_kind kind,
                                     const response_pointer& answer) -> void {
  auto result = handover_result();
  result.error = kind;
  result.is_declined = true;
  auto head = platform::MakeErrorHead(kUnavailable, metadata.id, duration(0));
  head.fields.push_back({kHandoverResultField, EncodeResult(result)});
  answer->Respond(std::move(head), {});
  metrics_.Count("ebony_declined_handovers_total");
  log_.Write(event_category::request, "handover_declined",
             {{"request", metadata.id.get()},
              {"kind", GetErrorAnswer(kind).code.data()},
              {"active", static_cast<std::int64_t>(context_.handed_over)}});
}

auto gateway_daemon::OnPeerCall(incoming_request call,
                                const response_pointer& answer) -> void {
  auto metadata = platform::DecodeCallerRequest(call.head);
  const auto* field = FindHandoverTerms(call.head);
  const auto terms = field == nullptr ? std::nullopt : DecodeTerms(*field);
  if (!terms) {
    DeclineHandover(metadata, error_kind::invalid_request, answer);
    return;
  }
  RemovePeerFields(call.head);
  const auto is_current =
      HasUsableConfig() && route_table_->get_config().number >= terms->config;
  if (!is_current) {
    DeclineHandover(metadata, error_kind::not_current, answer);
    return;
  }
  if (!TakesRequests()) {
    DeclineHandover(metadata, error_kind::draining, answer);
    return;
  }
  if (paths_.is_closed()) {
    DeclineHandover(metadata, error_kind::backend_unreachable, answer);
    return;
  }
  if (context_.handed_over >= kMaxHandedOver) {
    DeclineHandover(metadata, error_kind::overloaded, answer);
    return;
  }
  const auto* rule = route_table_->Match(metadata.host, metadata.path);
  const auto* service = rule == nullptr
                            ? nullptr
                            : route_table_->FindTarget(*rule, terms->service);
  if (service == nullptr) {
    DeclineHandover(metadata, error_kind::not_found, answer);
    return;
  }
  // The other gateway may know no organisations, or others.
  const auto* owner = keys_->FindByName(terms->organisation);
  const auto needs_owner = keys_->has_organisations() && !rule->is_public;
  const auto has_name = terms->organisation != organisation_name();
  if (owner == nullptr && (needs_owner || has_name)) {
    DeclineHandover(metadata, error_kind::not_current, answer);
    return;
  }
  metadata.account.organisation = terms->organisation;
  metadata.account.priority = keys_->GetPriority(owner);
  auto origin = std::optional<stream_origin>();
  if (terms->software) {
    origin = stream_origin{service->name, *terms->software};
  }
  AddSession(*rule, *service, std::move(call), std::move(metadata),
             std::move(origin), terms, answer);
}

auto gateway_daemon::OnPathsClosed() -> void {
  selector_.SetPathsClosed(true);
  link_.SyncSoon();
  const auto sessions = sessions_;
  for (const auto& item : sessions) {
    if (const auto session = item.lock()) {
      session->OnPathsClosed();
    }
  }
}

auto gateway_daemon::OnPathsOpened() -> void {
  selector_.SetPathsClosed(false);
  link_.SyncSoon();
  ScheduleDispatch();
}

}  // namespace ebony
