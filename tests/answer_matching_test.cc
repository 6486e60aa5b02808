#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <vector>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using ending = server_script::ending;

const auto kIdField = std::string("Ebonythread-Request-Id: $ID\r\n");
const auto kRoutes = {"plain", "once", "stream", "resume"};

// Returns a refusal with an empty body, or with one that looks like an answer.
auto MakeRefusal(int status, const std::string& fields, bool has_body = false)
    -> std::string {
  const auto body = std::string(
      has_body ? "HTTP/1.1 200 X\r\nEbonythread-Response-Seal: s\r\n\r\n" : "");
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Ebonythread-Not-Run: 1\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto MakeRepeated(const std::string& answer) -> server_script {
  auto script = server_script{{answer}, ending::keep};
  script.is_written_again = true;
  return script;
}

auto IsOver(const std::shared_ptr<caller_response>& response) -> bool {
  return response->is_complete || response->is_closed;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(answer_matching)

// The connection outlives the id under which its server was known.
BOOST_AUTO_TEST_CASE(a_refusal_repeated_under_another_id_is_not_believed) {
  for (const auto status : {421, 503}) {
    BOOST_TEST_CONTEXT(status) {
      auto site = gateway_harness(2);
      site.SetEngine(0, {"m"}, 12);
      site.SetEngine(1, {"m"}, 12);
      site.servers[0]->AddScript(MakeRepeated(
          MakeRefusal(status, kIdField + "Ebonythread-Instance-Id: i-9\r\n")));
      site.servers[1]->AnswerAlways(
          {{MakeRefusal(503, kIdField)}, ending::keep});
      const auto answer = site.Send(
          MakeRequest("model", "a", "Ebonythread-Model: m\r\n", "prompt"));
      site.RunUntil([&] { return !site.servers[0]->get_received().empty(); });
      site.ReplaceServer(0, "i-9");
      site.RunUntil([&] {
        return site.servers[0]->get_received().size() == 2 || IsOver(answer);
      });
      const auto refused = site.servers[1]->get_received().size();
      site.servers[1]->AnswerAlways(
          {{MakeResponse(200, "whole")}, ending::keep});
      site.RunUntil([&] { return IsOver(answer); });
      BOOST_TEST(answer->status == 200);
      // The first was refused and the second runs, here and nowhere else.
      BOOST_TEST(site.servers[0]->get_received().size() == 2U);
      BOOST_TEST(site.servers[1]->get_received().size() == refused);
    }
  }
}

// The other server is full at first, which keeps the request queued, and has
// room when the copy comes.
BOOST_AUTO_TEST_CASE(a_refusal_repeated_under_another_id_causes_no_second_run) {
  for (auto i = 0; i < 5; ++i) {
    auto site = gateway_harness(2);
    site.SetEngine(0, {"m"}, 12);
    site.SetEngine(1, {"m"}, 12);
    site.servers[0]->AddScript(MakeRepeated(
        MakeRefusal(421, kIdField + "Ebonythread-Instance-Id: i-9\r\n")));
    site.servers[1]->AddScript({{MakeRefusal(503, kIdField)}, ending::keep});
    const auto answer = site.Send(
        MakeRequest("model", "a", "Ebonythread-Model: m\r\n", "prompt"));
    site.RunUntil([&] { return !site.servers[0]->get_received().empty(); });
    site.ReplaceServer(0, "i-9");
    site.RunUntil([&] { return IsOver(answer); });
    site.RunFor(milliseconds(50));
    BOOST_TEST(answer->status == 200);
    // Refused by each of them once, and run once.
    BOOST_TEST(site.servers[0]->get_received().size() +
                   site.servers[1]->get_received().size() <=
               3U);
  }
}

// A caller that uses an id again must not be told that its request did not run.
BOOST_AUTO_TEST_CASE(a_refusal_repeated_to_a_second_request_is_not_believed) {
  for (const auto* route : kRoutes) {
    for (const auto status : {408, 421, 429, 503}) {
      for (const auto has_body : {false, true}) {
        BOOST_TEST_CONTEXT(route << " " << status << " " << has_body) {
          auto site = gateway_harness(1);
          site.AddCommonScript(
              MakeRepeated(MakeRefusal(status, kIdField, has_body)));
          const auto first = site.Send(MakeRequest(route, "a"));
          site.RunUntil([&] { return IsOver(first); });
          BOOST_TEST(first->status == 503);
          const auto second = site.Send(MakeRequest(route, "a"));
          site.RunUntil([&] { return IsOver(second); });
          BOOST_TEST(second->status == 200);
          BOOST_TEST(site.servers[0]->get_received().size() == 2U);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_without_id_is_nobodys_on_a_used_connection) {
  for (const auto* route : kRoutes) {
    BOOST_TEST_CONTEXT(route) {
      auto site = gateway_harness(1);
      site.AddCommonScript(MakeRepeated(
          "HTTP/1.1 200 X\r\nEbonythread-Response-Seal: s\r\n"
          "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nfirst"));
      const auto first = site.Send(MakeRequest(route, "a"));
      site.RunUntil([&] { return IsOver(first); });
      BOOST_TEST(first->body == "first");
      const auto second = site.Send(MakeRequest(route, "b"));
      site.RunUntil([&] { return IsOver(second); });
      BOOST_TEST(second->body == "whole");
    }
  }
}

BOOST_AUTO_TEST_CASE(requests_without_id_do_not_share_a_connection) {
  auto site = gateway_harness(1);
  for (auto i = 1; i <= 3; ++i) {
    site.AddCommonScript(MakeRepeated(MakeResponse(200, "whole")));
    const auto answer = site.Send("GET /plain/x HTTP/1.1\r\nHost: h\r\n\r\n");
    site.RunUntil([&] { return IsOver(answer); });
    BOOST_TEST(answer->status == 200);
    BOOST_TEST(site.servers[0]->get_connections() == i);
  }
}

// A copy in one read with its original, in a later one while the connection is
// idle, and before or after the answer to another request.
BOOST_AUTO_TEST_CASE(a_copy_is_told_wherever_it_comes) {
  const auto copy = MakeRefusal(503, "Ebonythread-Request-Id: a\r\n");
  for (const auto* route : kRoutes) {
    for (const auto* place : {"with", "idle", "before", "after"}) {
      BOOST_TEST_CONTEXT(route << " " << place) {
        const auto is_with = std::string("with") == place;
        auto site = gateway_harness(1);
        site.AddCommonScript({{is_with ? copy + copy : copy}, ending::keep});
        const auto first = site.Send(MakeRequest(route, "a"));
        site.RunUntil([&] { return IsOver(first); });
        BOOST_TEST(first->status == 503);
        if (std::string("idle") == place) {
          site.servers[0]->SendMore(copy);
          site.RunFor(milliseconds(10));
        }
        if (std::string("after") == place) {
          site.AddCommonScript(
              {{MakeResponse(200, "whole") + copy}, ending::keep});
        }
        if (std::string("before") == place) {
          site.AddCommonScript(
              {{copy + MakeResponse(200, "whole")}, ending::keep});
        }
        const auto second = site.Send(MakeRequest(route, "b"));
        site.RunUntil([&] { return IsOver(second); });
        BOOST_TEST(second->status == 200);
        BOOST_TEST(second->body == "whole");
        const auto third = site.Send(MakeRequest(route, "c"));
        site.RunUntil([&] { return IsOver(third); });
        BOOST_TEST(third->status == 200);
        BOOST_TEST(third->body == "whole");
        BOOST_TEST(site.servers[0]->get_received().size() == 3U);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answer_with_another_one_inside_is_no_success) {
  const auto copy = MakeRefusal(503, "Ebonythread-Request-Id: a\r\n");
  for (const auto* route : kRoutes) {
    for (const auto* type : {"text/plain", "text/event-stream"}) {
      BOOST_TEST_CONTEXT(route << " " << type) {
        auto site = gateway_harness(1);
        site.AddCommonScript(
            {{"HTTP/1.1 200 X\r\n" + kIdField +
                  "Ebonythread-Response-Seal: s\r\nContent-Type: " + type +
                  "\r\nTransfer-Encoding: chunked\r\n\r\n",
              copy, RenderChunk("id: 1\ndata: a\n\n") + RenderChunk({})},
             ending::keep});
        const auto answer = site.Send(MakeRequest(route, "a"));
        site.RunUntil([&] { return IsOver(answer); });
        BOOST_TEST(answer->status == 502);
      }
    }
  }
}

// The server that the copy speaks of may be another one by then.
BOOST_AUTO_TEST_CASE(a_skipped_answer_does_not_tell_that_a_server_leaves) {
  auto site = gateway_harness(1);
  site.AddCommonScript({{MakeRefusal(503, kIdField)}, ending::keep});
  const auto first = site.Send(MakeRequest("plain", "a"));
  site.RunUntil([&] { return IsOver(first); });
  site.AddCommonScript(
      {{MakeRefusal(503, "Ebonythread-Request-Id: a\r\nServer-Leaving: 1\r\n") +
        MakeResponse(200, "whole")},
       ending::keep});
  for (const auto* id : {"b", "c"}) {
    const auto answer = site.Send(MakeRequest("plain", id));
    site.RunUntil([&] { return IsOver(answer); });
    BOOST_TEST(answer->status == 200, id);
  }
}

BOOST_AUTO_TEST_CASE(a_connection_is_used_again_for_other_requests) {
  auto site = gateway_harness(1);
  for (auto i = 0; i < 20; ++i) {
    const auto answer = site.Send(MakeRequest("once", std::to_string(i)));
    site.RunUntil([&] { return IsOver(answer); });
    BOOST_TEST(answer->status == 200);
  }
  BOOST_TEST(site.servers[0]->get_connections() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
