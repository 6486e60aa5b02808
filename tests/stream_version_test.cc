#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

const auto kStreamHead = std::string(
    "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
    "Ebonythread-Response-Seal: s\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n");

// Renders one event as a chunk.
auto MakeEvent(int id) -> std::string {
  return "11\r\nid: " + std::to_string(id) + "\ndata: x\n\n\r\n";
}

// A stream of `events` events, the first of which has the id `first`, that is
// reset after them or ends as complete.
auto MakeStream(int first, int events, bool is_complete) -> server_script {
  auto script = server_script();
  script.writes.push_back(kStreamHead);
  for (auto id = first; id < first + events; ++id) {
    script.writes.push_back(MakeEvent(id));
  }
  if (is_complete) {
    script.writes.emplace_back("0\r\n\r\n");
  }
  script.end =
      is_complete ? server_script::ending::keep : server_script::ending::reset;
  return script;
}

auto RunUntilEnded(gateway_harness& site,
                   const std::shared_ptr<caller_response>& answer) -> void {
  site.RunUntil([&] { return answer->is_complete || answer->is_closed; });
}

// Takes up the stream that `first` began after its second event.
auto TakeUp(gateway_harness& site,
            const std::string& first,
            const std::string& id) -> std::shared_ptr<caller_response> {
  const auto answer = site.Send(MakeRequest(
      "resume", id, "Last-Event-Id: 2\r\nResumes: " + first + "\r\n"));
  RunUntilEnded(site, answer);
  return answer;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_versions)

BOOST_AUTO_TEST_CASE(a_stream_goes_on_only_at_the_version_that_began_it) {
  for (auto round = 0; round < 8; ++round) {
    auto site = gateway_harness(2);
    site.SetSoftware(1, "v2");
    site.servers[0]->AddScript(MakeStream(1, 2, false));
    site.servers[1]->AddScript(MakeStream(1, 2, false));
    RunUntilEnded(site, site.Send(MakeRequest("resume", "first")));
    const auto received = site.servers[0]->get_received().size() +
                          site.servers[1]->get_received().size();
    BOOST_TEST(received == 1U);
    // The same, when the caller takes the stream up.
    TakeUp(site, "first", "second");
    BOOST_TEST((site.servers[0]->get_received().empty() ||
                site.servers[1]->get_received().empty()));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
