#include "tests/coordinator_harness.h"
#include "platform/request_codec.h"

#include <boost/test/unit_test.hpp>
#include <random>
#include <thread>
#include <utility>

#include "codec/link_codec.h"
#include "main/site_paths.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kRunTimeout = std::chrono::seconds(5);
constexpr auto kVoters = 3;
// Ports below the range from which the kernel assigns ports to outgoing
// connections.
constexpr auto kFirstPort = 12000;
constexpr auto kPorts = 18000;

auto GetIp(int number) -> std::string {
  return "127.0.0." + std::to_string(number);
}

auto MakeConfigText(std::uint64_t number) -> std::string {
  const auto text = std::to_string(number);
  return R"({"version":)" + text + R"(,"routes":[{"name":"r","host":"h",)" +
         R"("pathPrefix":"/r)" + text + R"(/","kind":"idempotent",)" +
         R"("timeoutMs":2000,"targetLatencyMs":200,"priority":1,)" +
         R"("maxAttempts":2,"service":"s"}],)" +
         R"("services":[{"name":"s","healthPath":"/h","maxConns":9}]})";
}

auto MakeListenerOptions() -> http_listener::options {
  auto options = http_listener::options();
  options.get_limits = [] { return connection_limits(); };
  options.is_closing = [] { return false; };
  return options;
}

auto Respond(const response_pointer& answer, const std::string& body) -> void {
  auto head = http_head();
  head.status = 200;
  answer->Respond(std::move(head), body);
}

// Returns the reply of a voter that agrees to everything.
auto MakeReply(const schema::raft_message& request) -> raft_message {
  const auto message = ToDomain(request);
  auto reply = raft_message();
  reply.from = message.to;
  reply.to = message.from;
  reply.term = message.term;
  reply.round = message.round;
  reply.granted = true;
  switch (message.kind) {
    case message_kind::pre_vote:
      reply.kind = message_kind::pre_vote_reply;
      break;
    case message_kind::vote:
      reply.kind = message_kind::vote_reply;
      break;
    default:
      reply.kind = message_kind::append_reply;
      reply.index = log_index(message.index.get() + message.entries.size());
      break;
  }
  return reply;
}

}  // namespace

coordinator_machine::coordinator_machine()
    : first_port_(kFirstPort + static_cast<int>(std::random_device()() %
                                                std::uint32_t{kPorts / 4}) *
                                   4) {}

coordinator_harness::coordinator_harness(
    std::shared_ptr<coordinator_machine> machine)
    : pool_(loop_, &platform::DecodeAnsweredId), machine_(std::move(machine)) {
  const auto port = machine_->get_first_port();
  settings_.vm = vm_name("core-1");
  settings_.data_centre = data_centre_name("z1");
  settings_.ip = GetIp(1);
  settings_.link_port = static_cast<std::uint16_t>(port);
  settings_.operator_address =
      host_port(GetIp(1) + ":" + std::to_string(port + 1));
  settings_.directory_address =
      host_port(GetIp(1) + ":" + std::to_string(port + 2));
  for (auto number = 1; number <= kVoters; ++number) {
    settings_.seeds.emplace_back(GetIp(number) + ":" +
                                 std::to_string(port + 1));
  }
  settings_.is_bootstrap = true;
  settings_.data_folder = machine_->GetDataFolder();
  settings_.tolerated_vm_losses = 1;
  settings_.order_lease = milliseconds(3000);
  for (auto number = 2; number <= kVoters; ++number) {
    voters_.push_back(MakeVoter(number));
  }
  coordinator_ =
      std::make_unique<coordinator_daemon>(settings_, loop_, log_, counters_);
  coordinator_->Open();
  coordinator_->Start();
}

coordinator_harness::~coordinator_harness() {
  coordinator_.reset();
}

auto coordinator_harness::GetLink(int number) const -> host_port {
  return host_port(GetIp(number) + ":" + std::to_string(settings_.link_port));
}

auto coordinator_harness::GetNode(int number) const -> std::string {
  return settings_.seeds.at(static_cast<std::size_t>(number) - 1).get() + ".0";
}

auto coordinator_harness::MakeVoter(int number)
    -> std::unique_ptr<http_listener> {
  return std::make_unique<http_listener>(
      loop_, GetLink(number), MakeListenerOptions(),
      [this](const incoming_request& call, const response_pointer& answer) {
        OnVoterCall(call, answer);
      });
}

auto coordinator_harness::OnVoterCall(const incoming_request& call,
                                      const response_pointer& answer) -> void {
  if (call.head.target == kAnnouncePath) {
    auto announced = schema::announce_batch();
    BOOST_REQUIRE(announced.ParseFromString(call.body));
    passed_on_.insert(passed_on_.end(), announced.backends().begin(),
                      announced.backends().end());
  }
  if (call.head.target != kRaftPath) {
    Respond(answer, {});
    return;
  }
  auto batch = schema::raft_batch();
  BOOST_REQUIRE(batch.ParseFromString(call.body));
  auto replies = schema::raft_batch();
  for (const auto& message : batch.messages()) {
    const auto is_append = ToDomain(message).kind == message_kind::append;
    if (is_append && !is_accepting_) {
      continue;
    }
    if (is_append) {
      last_append_ = message;
    }
    *replies.add_messages() = ToSchema(MakeReply(message));
  }
  Respond(answer, replies.SerializeAsString());
}

auto coordinator_harness::Call(const host_port& to, const std::string& bytes)
    -> std::shared_ptr<coordinator_response> {
  const auto response = std::make_shared<coordinator_response>();
  auto hooks = call_hooks();
  hooks.on_head = [response](const http_head& head) {
    response->status = head.status;
    return true;
  };
  hooks.on_body = [response](std::string_view part) {
    response->body.append(part);
  };
  hooks.on_complete = [response] { response->is_complete = true; };
  hooks.on_failed = [](call_failure) {};
  pool_.Start(to, bytes, false, MakeLinkOptions(), std::move(hooks));
  return response;
}

auto coordinator_harness::AwaitLeadership() -> void {
  RunUntil([this] { return ToDomain(last_append_).commit.get() >= 1; });
  RunFor(milliseconds(100));  // the daemon starts to lead with its next tick
}

auto coordinator_harness::PutConfig(std::uint64_t number)
    -> std::shared_ptr<coordinator_response> {
  const auto body = MakeConfigText(number);
  return Call(settings_.operator_address,
              "PUT /api/config HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body);
}

auto coordinator_harness::CallOperatorAddress(const std::string& bytes)
    -> std::shared_ptr<coordinator_response> {
  return Call(settings_.operator_address, bytes);
}

auto coordinator_harness::CallDirectory(const std::string& bytes)
    -> std::shared_ptr<coordinator_response> {
  return Call(settings_.directory_address, bytes);
}

auto coordinator_harness::Announce(const std::vector<std::string>& ids) -> int {
  return Announce(ids, {});
}

auto coordinator_harness::Announce(const std::vector<std::string>& ids,
                                   const std::string& software) -> int {
  auto batch = schema::announce_batch();
  for (const auto& id : ids) {
    auto* row = batch.add_backends();
    row->set_id(id);
    row->set_service("s");
    row->set_address("10.0.0.9:8080");
    row->set_sequence(1);
    row->set_born_ms(1);
    row->set_software(software);
  }
  const auto response = Call(GetLink(1), RenderPost(kAnnouncePath, GetLink(1),
                                                    batch.SerializeAsString()));
  RunUntil([&] { return response->is_complete; });
  return response->status;
}

auto coordinator_harness::Leave(const std::string& id) -> int {
  const auto response = CallOperatorAddress("DELETE /api/instances/" + id +
                                            " HTTP/1.1\r\nHost: h\r\n\r\n");
  RunUntil([&] { return response->is_complete; });
  return response->status;
}

auto coordinator_harness::PassOn(const schema::backend_status_row& row)
    -> coordinator_response {
  auto batch = schema::announce_batch();
  *batch.add_backends() = row;
  const auto response = Call(GetLink(1), RenderPost(kAnnouncePath, GetLink(1),
                                                    batch.SerializeAsString()));
  RunUntil([&] { return response->is_complete; });
  return *response;
}

auto coordinator_harness::StandStill(duration time,
                                     const std::function<void()>& meanwhile)
    -> void {
  loop_.AddTimerIn(duration(0), [&] {
    meanwhile();
    std::this_thread::sleep_for(time);
  });
  RunFor(time + milliseconds(50));
}

auto coordinator_harness::Sync(const schema::sync_request& request)
    -> schema::sync_answer {
  const auto response =
      Call(GetLink(1),
           RenderPost(kSyncPath, GetLink(1), request.SerializeAsString()));
  RunUntil([&] { return response->is_complete; });
  auto answer = schema::sync_answer();
  BOOST_REQUIRE(answer.ParseFromString(response->body));
  return answer;
}

auto coordinator_harness::OverwriteEntries() -> void {
  const auto last = ToDomain(last_append_);
  auto message = raft_message();
  message.kind = message_kind::append;
  message.from = node_id(GetNode(2));
  message.to = node_id(GetNode(1));
  message.term = term_number(last.term.get() + 1);
  message.index = last.commit;
  message.log_term = last.term;
  auto barrier = log_entry();
  barrier.kind = entry_kind::barrier;
  barrier.term = message.term;
  barrier.index = log_index(last.commit.get() + 1);
  message.commit = barrier.index;
  message.entries.push_back(std::move(barrier));
  auto batch = schema::raft_batch();
  *batch.add_messages() = ToSchema(message);
  Call(GetLink(1),
       RenderPost(kRaftPath, GetLink(1), batch.SerializeAsString()));
}

auto coordinator_harness::RunUntil(const std::function<bool()>& done) -> void {
  const auto until = loop_.RefreshNow() + kRunTimeout;
  loop_.Run([&] { return done() || loop_.get_now() > until; });
  BOOST_REQUIRE(done());
}

auto coordinator_harness::RunFor(duration time) -> void {
  const auto until = loop_.RefreshNow() + time;
  loop_.Run([&] { return loop_.get_now() >= until; });
}

}  // namespace ebony::testing
