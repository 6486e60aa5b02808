#include "main/gateway_link.h"

#include <boost/test/unit_test.hpp>
#include <random>

#include "drivers/http_listener.h"
#include "platform/request_codec.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

// Ports below the range from which the kernel assigns ports to outgoing
// connections.
constexpr auto kFirstPort = 12000;
constexpr auto kPorts = 18000;

// A gateway's link to two coordinators: the first leaves syncs unanswered, the
// second one says that the first leads.
class lost_leader_harness {
  event_loop loop_;
  event_log log_{"test", 0};
  metrics counters_;
  http_pool pool_{loop_, &platform::DecodeAnsweredId};
  site_settings settings_;
  std::vector<response_pointer> unanswered_;
  std::unique_ptr<http_listener> leader_;
  std::unique_ptr<http_listener> follower_;
  std::unique_ptr<gateway_link> link_;

  auto Listen(const std::string& ip, request_handler hook)
      -> std::unique_ptr<http_listener> {
    auto options = http_listener::options();
    options.get_limits = [] { return connection_limits(); };
    options.is_closing = [] { return false; };
    return std::make_unique<http_listener>(loop_, GetLink(ip), options,
                                           std::move(hook));
  }

  auto GetLink(const std::string& ip) const -> host_port {
    return host_port(ip + ":" + std::to_string(settings_.link_port));
  }

 public:
  int leader_syncs = 0;
  int follower_syncs = 0;
  bool follower_leads = false;
  int answers = 0;  // of a leader

  explicit lost_leader_harness(std::vector<host_port> seeds = {
                                   host_port("127.0.0.1:1"),
                                   host_port("127.0.0.2:1")}) {
    settings_.link_port = static_cast<std::uint16_t>(
        kFirstPort +
        static_cast<int>(std::random_device()() % std::uint32_t{kPorts}));
    settings_.seeds = std::move(seeds);
    leader_ = Listen("127.0.0.1", [this](const incoming_request&,
                                         const response_pointer& answer) {
      ++leader_syncs;
      unanswered_.push_back(answer);
    });
    follower_ = Listen("127.0.0.2", [this](const incoming_request&,
                                           const response_pointer& answer) {
      ++follower_syncs;
      auto reply = schema::sync_answer();
      reply.set_is_leader(follower_leads);
      if (!follower_leads) {
        reply.set_leader_link(GetLink("127.0.0.1").get());
      }
      auto head = http_head();
      head.status = 200;
      answer->Respond(std::move(head), reply.SerializeAsString());
    });
    link_ = std::make_unique<gateway_link>(
        settings_, loop_, pool_, log_, counters_,
        gateway_link::hooks{[] { return schema::sync_request(); },
                            [this](const schema::sync_answer&) { ++answers; },
                            [] {}, [] {}, [](std::uint64_t) { return 0U; }});
    link_->Start();
  }

  auto AddSeeds(const std::vector<host_port>& seeds) -> void {
    link_->AddSeeds(seeds);
  }

  auto RunFor(duration time) -> void {
    const auto until = loop_.RefreshNow() + time;
    loop_.Run([&] { return loop_.get_now() >= until; });
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway_links)

BOOST_AUTO_TEST_CASE(a_leader_that_has_just_failed_is_not_asked_again_at_once) {
  auto harness = lost_leader_harness();
  harness.RunFor(milliseconds(1800));
  BOOST_TEST(harness.leader_syncs == 1);
  BOOST_TEST(harness.follower_syncs >= 1);
  harness.follower_leads = true;
  harness.RunFor(milliseconds(300));
  BOOST_TEST(harness.answers >= 1);
}

// Guards against a gateway that starts without seeds and never asks again
// (review/14).
BOOST_AUTO_TEST_CASE(seeds_of_later_settings_are_asked) {
  auto harness = lost_leader_harness(std::vector<host_port>());
  harness.follower_leads = true;
  harness.RunFor(milliseconds(400));
  BOOST_TEST(harness.answers == 0);
  harness.AddSeeds({host_port("127.0.0.2:1")});
  harness.RunFor(milliseconds(600));
  BOOST_TEST(harness.answers >= 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
