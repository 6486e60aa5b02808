#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using ending = server_script::ending;

constexpr auto kFirstEvent = "id: 1\ndata: a\n\n";

auto MakeRefusal(const std::string& id_field) -> std::string {
  return "HTTP/1.1 503 Service Unavailable\r\n" + id_field +
         "Ebonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
}

const auto kIdField = std::string("Ebonythread-Request-Id: $ID\r\n");

auto IsOver(const std::shared_ptr<caller_response>& response) -> bool {
  return response->is_complete || response->is_closed;
}

// Returns the answers that may follow a stream that broke off, none of which
// goes on with it.
auto MakeErrors() -> std::vector<server_script> {
  const auto head =
      "HTTP/1.1 500 X\r\n" + kIdField + "Ebonythread-Response-Seal: s\r\n";
  auto scripts = std::vector<server_script>();
  for (const auto status : {400, 404, 409, 429, 500, 502, 503, 504}) {
    scripts.push_back({{MakeResponse(status, "error text")}, ending::keep});
  }
  scripts.push_back({{MakeResponse(200, "error text")}, ending::keep});
  scripts.push_back({{MakeRefusal(kIdField)}, ending::keep});
  scripts.push_back({{MakeRefusal({})}, ending::keep});
  scripts.push_back(
      {{head +
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        RenderChunk("id: 2\ndata: error text\n\n") + RenderChunk({})},
       ending::keep});
  scripts.push_back({{head + "\r\nerror text"}, ending::close});
  scripts.push_back(
      {{head + "Content-Length: 99\r\n\r\nerror"}, ending::close});
  scripts.push_back({{"HTTP/1.1 200 OK\r\n" + kIdField +
                      "Content-Type: text/event-stream\r\nContent-Length: 24"
                      "\r\n\r\nid: 2\ndata: error text\n\n"},
                     ending::keep});
  return scripts;
}

// Returns heads that stop, from the status line on.
auto MakeBrokenHeads() -> std::vector<std::string> {
  const auto whole = "HTTP/1.1 200 OK\r\n" + kIdField +
                     "Ebonythread-Response-Seal: seal-$ID\r\n"
                     "Content-Type: text/event-stream\r\n"
                     "Content-Length: 0\r\n\r\n";
  auto heads = std::vector<std::string>();
  for (const auto left : {1U, 2U, 3U, 4U, 12U, 23U, 60U, 100U, 135U}) {
    heads.push_back(whole.substr(0, whole.size() - left));
  }
  return heads;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(faulty_answers)

BOOST_AUTO_TEST_CASE(an_earlier_refusal_of_the_same_request_is_not_believed) {
  auto site = gateway_harness(1);
  site.SetEngine(0, {"m"}, 12);
  auto refusal = server_script{{MakeRefusal(kIdField)}, ending::keep};
  refusal.is_written_again = true;
  site.AddCommonScript(refusal);
  const auto answer = site.Send(
      MakeRequest("model", "a", "Ebonythread-Model: m\r\n", "prompt"));
  site.RunUntil([&] { return IsOver(answer); });
  BOOST_TEST(answer->status != 503);
  // The first was refused and the second runs.
  BOOST_TEST(site.servers[0]->get_received().size() == 2U);
}

BOOST_AUTO_TEST_CASE(an_earlier_refusal_of_another_request_is_not_believed) {
  for (const auto* route : {"plain", "once", "stream", "resume"}) {
    for (const auto& id_field : {kIdField, std::string()}) {
      BOOST_TEST_CONTEXT(route << ", '" << id_field << "'") {
        auto site = gateway_harness(1);
        auto refusal = server_script{{MakeRefusal(id_field)}, ending::keep};
        refusal.is_written_again = true;
        site.AddCommonScript(refusal);
        const auto first = site.Send(MakeRequest(route, "first"));
        site.RunUntil([&] { return IsOver(first); });
        BOOST_TEST(first->status == 503);
        const auto second = site.Send(MakeRequest(route, "second"));
        site.RunUntil([&] { return IsOver(second); });
        BOOST_TEST(second->status != 503);
        const auto connections = site.servers[0]->get_connections();
        BOOST_TEST_MESSAGE(second->status << " over " << connections);
        BOOST_TEST(site.servers[0]->get_received().size() == 2U);
      }
    }
  }
}

// Only a refusal may say that the request has not run.
BOOST_AUTO_TEST_CASE(an_answer_that_is_no_refusal_is_not_taken_for_one) {
  for (const auto* route : {"once", "stream"}) {
    for (const auto status : {200, 404, 409, 500, 502, 504}) {
      BOOST_TEST_CONTEXT(route << " " << status) {
        auto site = gateway_harness(2);
        site.AddCommonScript(
            {{"HTTP/1.1 " + std::to_string(status) + " X\r\n" + kIdField +
              "Ebonythread-Not-Run: 1\r\nEbonythread-Response-Seal: s\r\n"
              "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody"},
             ending::keep});
        const auto answer = site.Send(MakeRequest(route, "id-1"));
        site.RunUntil([&] { return IsOver(answer); });
        BOOST_TEST(answer->status == status);
        BOOST_TEST(site.servers[0]->get_received().size() +
                       site.servers[1]->get_received().size() ==
                   1U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(no_error_gets_into_a_stream_that_has_begun) {
  for (const auto resets : {false, true}) {
    for (const auto& error : MakeErrors()) {
      BOOST_TEST_CONTEXT(error.writes[0]) {
        auto site = gateway_harness(2);
        site.AddCommonScript({{"HTTP/1.1 200 OK\r\n" + kIdField +
                               "Ebonythread-Response-Seal: s\r\n"
                               "Content-Type: text/event-stream\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n" +
                               RenderChunk(kFirstEvent)},
                              resets ? ending::reset : ending::close});
        site.AddCommonScript(error);
        const auto answer = site.Send(MakeRequest("resume", "id-1"));
        site.RunUntil([&] { return IsOver(answer); });
        BOOST_TEST(answer->status == 200);
        BOOST_TEST(answer->body == kFirstEvent);
        BOOST_TEST(!answer->is_complete);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_whose_head_stops_is_no_success) {
  for (const auto* route : {"plain", "once", "stream", "resume"}) {
    for (const auto end : {ending::close, ending::reset}) {
      for (const auto& head : MakeBrokenHeads()) {
        BOOST_TEST_CONTEXT(route << ", " << head) {
          auto site = gateway_harness(2);
          site.AddCommonScript({{head}, end});
          site.AddCommonScript({{head}, end});
          const auto answer = site.Send(MakeRequest(route, "id-1"));
          site.RunUntil([&] { return IsOver(answer); });
          BOOST_TEST(answer->status == 502);
          BOOST_TEST(answer->is_complete);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
