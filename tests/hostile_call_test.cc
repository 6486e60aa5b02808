#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

#include "tests/coordinator_harness.h"

namespace ebony::testing {

namespace {

auto MakePut(const std::string& target, const std::string& body)
    -> std::string {
  return "PUT " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An announcement of `bytes` bytes that can be read.
auto MakeBeat(std::size_t bytes) -> std::string {
  auto body = std::string(
      R"({"service":"s","addr":"10.0.0.9:8080","zone":"z","version":"v1",
          "slots":4,"state":"ready","seq":1,"born":1700)");
  body.append(bytes - body.size() - 1, ' ');
  return body + "}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(hostile_calls)

// Guards against a process that ends at a call which belongs elsewhere.
BOOST_AUTO_TEST_CASE(calls_of_others_at_the_directory_are_refused) {
  auto site = coordinator_harness();
  const auto get =
      std::string("GET /api/resolve?name=h HTTP/1.1\r\nHost: h\r\n\r\n");
  for (const auto& call :
       {MakePut("/api/instances/i-1", "junk"), MakePut("/api/config", "{"),
        MakePut("/api/instances/i-1", MakeBeat(200)),
        MakePut("/api/instances/\xff", "{}")}) {
    const auto refused = site.CallDirectory(call);
    site.RunUntil([&] { return refused->is_complete; });
    BOOST_TEST((refused->status == 400 || refused->status == 404));
    const auto answered = site.CallDirectory(get);
    site.RunUntil([&] { return answered->is_complete; });
    BOOST_TEST(answered->status == 503);  // no gateway is known
  }
}

// Load that it answers: bytes that are no announcement, as long as they are
// taken.
BOOST_AUTO_TEST_CASE(a_call_has_the_limit_of_its_kind) {
  constexpr auto kBeatBytes = std::size_t{256} * 1024;
  constexpr auto kConfigBytes = std::size_t{4} * 1024 * 1024;
  auto site = coordinator_harness();
  site.AwaitLeadership();
  const auto get_status = [&site](const std::string& target,
                                  const std::string& body) {
    const auto response = site.CallOperatorAddress(MakePut(target, body));
    site.RunUntil([&] { return response->status != 0; });
    return response->status;
  };
  BOOST_TEST(get_status("/api/instances/i-1", MakeBeat(kBeatBytes)) == 200);
  BOOST_TEST(get_status("/api/instances/i-2", MakeBeat(kBeatBytes + 1)) == 413);
  const auto junk = std::string(kConfigBytes, '[');
  BOOST_TEST(get_status("/api/config", junk) == 400);
  BOOST_TEST(get_status("/api/config", junk + "[") == 413);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
