#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <thread>

#include "tests/coordinator_harness.h"

// What a server said to a process that stood still, or to a coordinator that
// did and passes it on late.

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;
// Longer than the shortest standstill that is seen, and the wait before it.
constexpr auto kStandstill = milliseconds(1000);

auto MakeRow(std::uint64_t start_time_ms, std::uint64_t sequence)
    -> schema::backend_status_row {
  auto row = schema::backend_status_row();
  row.set_id("a");
  row.set_service("s");
  row.set_address("10.0.0.9:8080");
  row.set_born_ms(start_time_ms);
  row.set_sequence(sequence);
  return row;
}

auto MakeDeparture(std::uint32_t age_ms) -> schema::backend_status_row {
  auto row = schema::backend_status_row();
  row.set_id("a");
  row.set_gone(true);
  row.set_silent_ms(age_ms);
  return row;
}

auto HasLeft(coordinator_harness& site) -> bool {
  auto request = schema::sync_request();
  request.set_vm("core-2");
  const auto answer = site.Sync(request);
  for (const auto& row : answer.backends()) {
    if (row.id() == "a") {
      return row.gone();
    }
  }
  return false;
}

// A blocking connection, whose bytes arrive while the event loop does nothing.
class raw_connection {
  int fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

 public:
  explicit raw_connection(const host_port& address) {
    const auto colon = address.get().rfind(':');
    auto to = sockaddr_in();
    to.sin_family = AF_INET;
    to.sin_port = htons(
        static_cast<std::uint16_t>(std::stoi(address.get().substr(colon + 1))));
    ::inet_pton(AF_INET, address.get().substr(0, colon).c_str(), &to.sin_addr);
    BOOST_REQUIRE(::connect(fd_, reinterpret_cast<const sockaddr*>(&to),
                            sizeof(to)) == 0);
  }
  ~raw_connection() { ::close(fd_); }
  raw_connection(const raw_connection&) = delete;
  auto operator=(const raw_connection&) -> raw_connection& = delete;

  auto Send(const std::string& bytes) -> void {
    BOOST_REQUIRE(::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(bytes.size()));
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(late_calls)

// Guards against a departure that a frozen coordinator passes on late and that
// ends the next start of the server (review/12).
BOOST_AUTO_TEST_CASE(a_late_departure_does_not_end_the_next_start) {
  auto site = coordinator_harness();
  site.AwaitLeadership();
  BOOST_TEST(site.PassOn(MakeRow(1, 5)).status == kOk);
  BOOST_TEST(site.Leave("a") == kOk);
  BOOST_TEST(site.PassOn(MakeRow(2, 1)).status == kOk);
  const auto late = site.PassOn(MakeDeparture(3500));
  BOOST_TEST(late.status == kUnavailable);
  BOOST_TEST(late.body == R"({"error":"start_not_known"})");
  BOOST_TEST(!HasLeft(site));
  BOOST_TEST(site.PassOn(MakeRow(2, 2)).status == kOk);
}

// A departure of the present start counts, also when it is passed on, and said
// again after a lost answer.
BOOST_AUTO_TEST_CASE(a_departure_of_the_present_start_counts) {
  auto site = coordinator_harness();
  site.AwaitLeadership();
  site.PassOn(MakeRow(1, 5));
  site.RunFor(milliseconds(50));
  BOOST_TEST(site.PassOn(MakeDeparture(0)).status == kOk);
  BOOST_TEST(HasLeft(site));
  BOOST_TEST(site.PassOn(MakeDeparture(0)).status == kOk);
  BOOST_TEST(site.Leave("a") == kOk);
  BOOST_TEST(HasLeft(site));
}

// Guards against an answer 200 to what changes nothing.
BOOST_AUTO_TEST_CASE(an_announcement_that_does_not_count_is_refused) {
  auto site = coordinator_harness();
  site.AwaitLeadership();
  site.PassOn(MakeRow(2, 1));
  const auto earlier = site.PassOn(MakeRow(1, 9));
  BOOST_TEST(earlier.status == kConflict);
  BOOST_TEST(earlier.body == R"({"error":"later_start_known"})");
  BOOST_TEST(site.Leave("a") == kOk);
  const auto departed = site.PassOn(MakeRow(2, 2));
  BOOST_TEST(departed.status == kConflict);
  BOOST_TEST(departed.body == R"({"error":"start_has_left"})");
  // That a start which is over leaves is true.
  auto leaving = MakeRow(2, 3);
  leaving.set_leaving(true);
  BOOST_TEST(site.PassOn(leaving).status == kOk);
  BOOST_TEST(site.PassOn(MakeRow(3, 1)).status == kOk);
  BOOST_TEST(!HasLeft(site));
}

// Guards against a follower that passes on what it read after a standstill as
// if it had just been said.
BOOST_AUTO_TEST_CASE(a_coordinator_that_stood_still_says_how_old_a_call_is) {
  auto site = coordinator_harness();
  site.AwaitLeadership();
  site.OverwriteEntries();  // another voter leads
  site.RunFor(milliseconds(100));
  auto server = raw_connection(site.get_operator_address());
  site.RunFor(milliseconds(50));
  site.StandStill(kStandstill, [&server] {
    server.Send("DELETE /api/instances/a HTTP/1.1\r\nHost: h\r\n\r\n");
  });
  BOOST_REQUIRE(site.get_passed_on().size() == 1U);
  const auto& row = site.get_passed_on()[0];
  BOOST_TEST(row.gone());
  BOOST_TEST(row.silent_ms() >= kStandstill.count());
}

// What arrives later is new again.
BOOST_AUTO_TEST_CASE(a_loop_knows_how_early_events_may_have_arrived) {
  auto loop = event_loop();
  const auto run_for = [&loop](duration time) {
    const auto until = loop.RefreshNow() + time;
    loop.Run([&] { return loop.get_now() >= until; });
  };
  run_for(milliseconds(300));
  BOOST_TEST((loop.GetEarliestArrival() == loop.get_now()));
  const auto before = loop.get_now();
  loop.AddTimerIn(duration(0),
                  [] { std::this_thread::sleep_for(kStandstill); });
  run_for(kStandstill + milliseconds(10));
  BOOST_TEST((loop.GetEarliestArrival() <= before + milliseconds(250)));
  run_for(milliseconds(1100));
  BOOST_TEST((loop.GetEarliestArrival() == loop.get_now()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
