#include <boost/test/unit_test.hpp>
#include <random>

#include "codec/message_reader.h"
#include "drivers/http_listener.h"
#include "main/coordinator_daemon.h"
#include "main/site_paths.h"
#include "tests/test_folder.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// Ports below the range from which the kernel assigns ports to outgoing
// connections.
constexpr auto kFirstPort = 12000;
constexpr auto kPorts = 18000;
constexpr auto kLeaderIp = "127.0.0.2";

// A coordinator with an empty disk, and a leader that it should ask to join.
class joining_harness {
  event_loop loop_;
  event_log log_{"test", 0};
  metrics counters_;
  test_folder folder_;
  int port_ = kFirstPort +
              static_cast<int>(std::random_device()() % std::uint32_t{kPorts});
  site_settings settings_;
  std::unique_ptr<http_listener> leader_;
  std::unique_ptr<coordinator_daemon> coordinator_;

  auto GetAddress(const std::string& ip, int offset) const -> host_port {
    return host_port(ip + ":" + std::to_string(port_ + offset));
  }

 public:
  int joins = 0;

  explicit joining_harness(const std::vector<std::string>& seed_ips) {
    settings_.vm = vm_name("core-1");
    settings_.data_centre = data_centre_name("z1");
    settings_.ip = "127.0.0.1";
    settings_.link_port = static_cast<std::uint16_t>(port_);
    settings_.operator_address = GetAddress(settings_.ip, 1);
    settings_.directory_address = GetAddress(settings_.ip, 2);
    settings_.data_folder = folder_.get_path() + "/data";
    settings_.tolerated_vm_losses = 1;
    SetSeeds(seed_ips);
    auto options = http_listener::options();
    options.get_limits = [] { return connection_limits(); };
    options.is_closing = [] { return false; };
    leader_ = std::make_unique<http_listener>(
        loop_, GetAddress(kLeaderIp, 0), options,
        [this](const incoming_request& call, const response_pointer& answer) {
          joins += call.head.target == kJoinPath ? 1 : 0;
          auto reply = schema::join_answer();
          reply.set_is_leader(true);
          auto head = http_head();
          head.status = 200;
          answer->Respond(std::move(head), reply.SerializeAsString());
        });
    coordinator_ =
        std::make_unique<coordinator_daemon>(settings_, loop_, log_, counters_);
    coordinator_->Open();
    coordinator_->Start();
  }

  auto SetSeeds(const std::vector<std::string>& ips) -> void {
    settings_.seeds.clear();
    for (const auto& ip : ips) {
      settings_.seeds.push_back(GetAddress(ip, 1));
    }
  }

  auto Reload() -> void { coordinator_->Reload(settings_); }

  auto RunFor(duration time) -> void {
    const auto until = loop_.RefreshNow() + time;
    loop_.Run([&] { return loop_.get_now() >= until; });
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(later_seeds)

// Guards against a coordinator on a new disk that goes on asking the seeds of
// its start, all of which are gone by now, and never joins the group.
BOOST_AUTO_TEST_CASE(a_new_coordinator_asks_the_seeds_of_later_settings) {
  for (const auto& first_seeds :
       {std::vector<std::string>(),
        std::vector<std::string>{"127.0.0.9", "127.0.0.10"}}) {
    auto harness = joining_harness(first_seeds);
    harness.RunFor(milliseconds(600));
    BOOST_TEST(harness.joins == 0);
    harness.SetSeeds({kLeaderIp});
    harness.Reload();
    harness.RunFor(milliseconds(1500));
    BOOST_TEST(harness.joins >= 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
