#include <boost/test/unit_test.hpp>

#include "tests/gateway_harness.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using ending = server_script::ending;

constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
    "Ebonythread-Response-Seal: seal-$ID\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

auto CountReceived(const gateway_harness& harness) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& server : harness.servers) {
    count += server->get_received().size();
  }
  return count;
}

// Plays one script for the first request and returns what the caller got.
auto Play(gateway_harness& harness,
          const std::string& route,
          server_script script,
          const std::string& fields = {}) -> std::shared_ptr<caller_response> {
  for (const auto& server : harness.servers) {
    server->Expect(script);
  }
  const auto view = harness.Call(MakeRequest(route, "id-1", fields));
  harness.RunUntil([&] { return view->is_whole || view->is_closed; });
  return view;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway)

BOOST_AUTO_TEST_CASE(a_whole_answer_passes_unchanged) {
  auto harness = gateway_harness(1);
  const auto view = harness.Call(
      MakeRequest("once", "id-1", "Ebonythread-Hold: 5\r\n", "a body"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 200);
  BOOST_TEST(view->body == "whole");
  BOOST_TEST(*view->head.Find("Ebonythread-Response-Seal") == "seal-id-1");
  const auto& request = *harness.servers[0]->get_received().at(0);
  BOOST_TEST(request.head.target == "/once/x");
  BOOST_TEST(request.body == "a body");
  BOOST_TEST(request.head.Find("Ebonythread-Hold") == nullptr);
  BOOST_TEST(*request.head.Find("Ebonythread-Expect-Instance") == "i-0");
}

BOOST_AUTO_TEST_CASE(no_route_is_404_and_no_configuration_is_never_404) {
  auto harness = gateway_harness(1);
  const auto view = harness.Call(MakeRequest("nowhere", "id-1"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 404);
}

// The load: callers come back to a gateway that has just been restarted.
BOOST_AUTO_TEST_CASE(an_early_call_waits_for_the_first_configuration) {
  auto harness = gateway_harness(1);
  harness.Restart();
  const auto view = harness.Call(MakeRequest("plain", "id-1"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 200);
}

BOOST_AUTO_TEST_CASE(without_a_configuration_the_refusal_is_true_and_not_404) {
  auto harness = gateway_harness(1);
  harness.SetSilent(true);
  harness.Restart();
  const auto view = harness.Call(
      MakeRequest("plain", "id-1", "Ebonythread-Deadline-Ms: 400\r\n"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 503);
  BOOST_TEST(view->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_late_answer_to_another_request_is_skipped) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.sends = {
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: other\r\n"
      "Ebonythread-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong" +
      MakeAnswer(200, "right")};
  const auto view = Play(harness, "plain", script);
  BOOST_TEST(view->status == 200);
  BOOST_TEST(view->body == "right");
}

BOOST_AUTO_TEST_CASE(surplus_bytes_never_reach_another_request) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.sends = {MakeAnswer(200, "first") + "HTTP/1.1 200 OK\r\n"};
  BOOST_TEST(Play(harness, "plain", script)->body == "first");
  const auto next = harness.Call(MakeRequest("plain", "id-2"));
  harness.RunUntil([&] { return next->is_whole; });
  BOOST_TEST(next->body == "whole");
  BOOST_TEST(harness.servers[0]->get_connections() == 2);
}

BOOST_AUTO_TEST_CASE(kept_connections_are_used_again) {
  auto harness = gateway_harness(1);
  for (const auto* id : {"a", "b", "c"}) {
    const auto view = harness.Call(MakeRequest("plain", id));
    harness.RunUntil([&] { return view->is_whole; });
  }
  BOOST_TEST(harness.servers[0]->get_connections() == 1);
}

// Each way in which an answer can be spoiled, for a request that must not run
// twice: it is sent once, and the caller gets neither a success nor a promise.
BOOST_AUTO_TEST_CASE(a_spoiled_answer_is_no_success_and_no_promise) {
  const auto sealed = std::string(
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
      "Ebonythread-Response-Seal: s\r\n");
  const auto spoiled = std::vector<server_script>{
      {{}, ending::reset},
      {{}, ending::close},
      {{"HTTP/1.1 200 OK\r\nConte"}, ending::close},
      {{sealed + "Content-Length: 50\r\n\r\nhalf"}, ending::close},
      {{sealed + "Content-Length: 50\r\n\r\nhalf"}, ending::reset},
      {{sealed + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
       ending::close},
      {{sealed + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhalf\r\n"},
       ending::close},
      {{sealed + "\r\nno length"}, ending::reset},
      {{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"}, ending::keep},
      {{sealed + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nno"},
       ending::keep},
      {{"\x16\x03\x01 this is no HTTP\r\n\r\n"}, ending::keep},
      {{"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"}, ending::keep},
  };
  for (const auto& script : spoiled) {
    auto harness = gateway_harness(2);
    const auto view = Play(harness, "once", script);
    BOOST_TEST_CONTEXT("script "
                       << (script.sends.empty() ? std::string("without bytes")
                                                : script.sends.front())) {
      BOOST_TEST(view->status == 502);
      BOOST_TEST(view->head.Find("Ebonythread-Response-Seal") == nullptr);
      BOOST_TEST(CountReceived(harness) == 1U);
    }
  }
}

BOOST_AUTO_TEST_CASE(an_idempotent_request_goes_to_another_server) {
  for (const auto& script :
       {server_script{{}, ending::reset},
        server_script{{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"},
                      ending::keep},
        server_script{{MakeAnswer(500, "broken")}, ending::keep},
        server_script{{}, ending::hang}}) {
    auto harness = gateway_harness(2);
    harness.ExpectNext(script);
    const auto view = harness.Call(MakeRequest("plain", "id-1"));
    harness.RunUntil([&] { return view->is_whole; });
    BOOST_TEST(view->status == 200);
    BOOST_TEST(view->body == "whole");
    BOOST_TEST(harness.servers[0]->get_received().size() == 1U);
    BOOST_TEST(harness.servers[1]->get_received().size() == 1U);
  }
}

// A server that cannot be connected to was not sent anything: also a request
// that may be sent to one server only goes on.
BOOST_AUTO_TEST_CASE(an_unreached_server_is_no_attempt) {
  auto harness = gateway_harness(3);
  for (const auto server : {0U, 1U, 2U}) {
    harness.SetEngine(server, {"m"}, 4);
  }
  harness.servers[0]->Stop();
  harness.servers[1]->Stop();
  for (const auto* id : {"a", "b", "c", "d"}) {
    const auto view = harness.Call(
        MakeRequest("model", id, "Ebonythread-Model: m\r\n", "prompt"));
    harness.RunUntil([&] { return view->is_whole; });
    BOOST_TEST(view->status == 200);
  }
  BOOST_TEST(harness.servers[2]->get_received().size() == 4U);
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_is_whole_at_an_orderly_close) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.sends = {
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
      "Ebonythread-Response-Seal: s\r\n\r\nall of it"};
  script.end = ending::close;
  const auto view = Play(harness, "once", script);
  BOOST_TEST(view->status == 200);
  BOOST_TEST(view->body == "all of it");
}

BOOST_AUTO_TEST_CASE(a_server_that_did_not_run_it_leaves_a_true_refusal) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.sends = {
      "HTTP/1.1 503 X\r\nEbonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
  const auto view = Play(harness, "once", script);
  BOOST_TEST(view->status == 503);
  BOOST_TEST(view->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_failure_of_the_server_keeps_status_and_signature) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.sends = {MakeAnswer(500, "broken")};
  const auto view = Play(harness, "once", script);
  BOOST_TEST(view->status == 500);
  BOOST_TEST(view->body == "broken");
  BOOST_TEST(*view->head.Find("Ebonythread-Response-Seal") == "seal-id-1");
}

BOOST_AUTO_TEST_CASE(a_failure_stands_when_the_second_server_fails_too) {
  auto harness = gateway_harness(2);
  auto script = server_script();
  script.sends = {MakeAnswer(500, "broken")};
  const auto view = Play(harness, "plain", script);
  BOOST_TEST(view->status == 500);
  BOOST_TEST(CountReceived(harness) == 2U);
}

BOOST_AUTO_TEST_CASE(events_pass_as_they_come_and_the_stream_ends_whole) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.sends = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n"),
                  RenderChunk("id: 2\ndata: b\n\n") + RenderChunk({})};
  const auto view = Play(harness, "stream", script);
  BOOST_TEST(view->is_whole);
  BOOST_TEST(view->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(the_first_event_does_not_wait_for_the_second) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.sends = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::hang;
  harness.servers[0]->Expect(script);
  const auto view = harness.Call(MakeRequest("stream", "id-1"));
  harness.RunUntil([&] { return !view->body.empty(); });
  BOOST_TEST(!view->is_whole);
}

BOOST_AUTO_TEST_CASE(a_cut_stream_does_not_look_complete) {
  auto harness = gateway_harness(2);
  auto script = server_script();
  script.sends = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::reset;
  const auto view = Play(harness, "stream", script);
  BOOST_TEST(view->status == 200);
  BOOST_TEST(view->is_closed);
  BOOST_TEST(!view->is_whole);
  BOOST_TEST(CountReceived(harness) == 1U);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_is_joined_without_gap_or_repeat) {
  for (const auto end : {ending::reset, ending::close, ending::hang}) {
    auto harness = gateway_harness(2);
    harness.ExpectNext(
        {{kStreamHead + RenderChunk("id: 1\ndata: a\n\nid: 2\nda")}, end});
    harness.ExpectNext(
        {{kStreamHead + RenderChunk("id: 2\ndata: b\n\n") + RenderChunk({})},
         ending::keep});
    const auto view = harness.Call(MakeRequest("resume", "id-1"));
    harness.RunUntil([&] { return view->is_whole; });
    BOOST_TEST(view->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    auto resumed = 0;
    for (const auto& server : harness.servers) {
      const auto& request = *server->get_received().at(0);
      const auto* after = request.head.Find("Last-Event-Id");
      resumed += after != nullptr && *after == "1" ? 1 : 0;
    }
    BOOST_TEST(resumed == 1);
  }
}

// Two attempts are all that the route allows.
BOOST_AUTO_TEST_CASE(a_stream_that_is_cut_twice_breaks_off) {
  auto harness = gateway_harness(3);
  for (auto i = 0; i < 3; ++i) {
    harness.ExpectNext(
        {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::reset});
  }
  const auto view = harness.Call(MakeRequest("resume", "id-1"));
  harness.RunUntil([&] { return view->is_closed; });
  BOOST_TEST(CountReceived(harness) == 2U);
}

BOOST_AUTO_TEST_CASE(a_silent_stream_is_kept_while_nobody_can_take_it_over) {
  auto harness = gateway_harness(1);
  harness.ExpectNext(
      {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::hang});
  const auto view = harness.Call(MakeRequest("resume", "id-1"));
  harness.RunUntil([&] { return !view->body.empty(); });
  harness.RunFor(milliseconds(1200));  // longer than a stall takes
  BOOST_TEST(!view->is_closed);
  BOOST_TEST(!harness.servers[0]->get_received()[0]->is_gone);
}

// With nobody to go on, a stream that has begun still gets its end.
BOOST_AUTO_TEST_CASE(a_cut_stream_that_nobody_takes_over_breaks_off) {
  auto harness = gateway_harness(1);
  harness.ExpectNext(
      {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::reset});
  const auto view = harness.Call(MakeRequest("resume", "id-1"));
  harness.RunUntil([&] { return view->is_closed; });
  BOOST_TEST(!view->is_whole);
}

BOOST_AUTO_TEST_CASE(work_ends_when_its_caller_leaves) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.sends = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::hang;
  harness.servers[0]->Expect(script);
  const auto view = harness.Call(MakeRequest("stream", "id-1"));
  harness.RunUntil([&] { return !view->body.empty(); });
  harness.Leave(view);
  harness.RunUntil(
      [&] { return harness.servers[0]->get_received()[0]->is_gone; });
}

BOOST_AUTO_TEST_CASE(the_routes_time_limit_ends_a_silent_request) {
  auto harness = gateway_harness(1);
  auto script = server_script();
  script.end = ending::hang;
  const auto view =
      Play(harness, "once", script, "Ebonythread-Deadline-Ms: 300\r\n");
  BOOST_TEST(view->status == 504);
  BOOST_TEST(harness.servers[0]->get_received()[0]->is_gone);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_nothing_new) {
  auto harness = gateway_harness(2);
  harness.SetLeaving(0);
  for (auto i = 0; i < 6; ++i) {
    const auto view =
        harness.Call(MakeRequest("plain", "id-" + std::to_string(i)));
    harness.RunUntil([&] { return view->is_whole; });
  }
  BOOST_TEST(harness.servers[0]->get_received().empty());
  BOOST_TEST(harness.servers[1]->get_received().size() == 6U);
}

BOOST_AUTO_TEST_CASE(without_a_server_the_refusal_comes_at_once) {
  auto harness = gateway_harness(1);
  harness.SetLeaving(0);
  const auto view = harness.Call(MakeRequest("once", "id-1"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 503);
  BOOST_TEST(view->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(an_older_configuration_changes_nothing) {
  auto harness = gateway_harness(1);
  harness.SetConfig(R"({"version":5,"routes":[],"services":[{"name":"s"}]})",
                    5);
  const auto view = harness.Call(MakeRequest("plain", "id-1"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 404);
  BOOST_TEST(harness.syncs.back().have_config() == 5U);
  harness.SetConfig(R"({"version":4,"routes":[],"services":[{"name":"t"}]})",
                    4);
  BOOST_TEST(harness.syncs.back().have_config() == 5U);
}

BOOST_AUTO_TEST_CASE(a_draining_gateway_serves_on_and_says_so) {
  auto harness = gateway_harness(1);
  harness.get_gateway().Drain();
  const auto view = harness.Call(MakeRequest("plain", "id-1"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 200);
  BOOST_TEST(*view->head.Find("Connection") == "close");
  harness.RunUntil([&] { return !harness.syncs.back().ready(); });
}

// The load: several long prompts for one engine at once. They are read one
// after another, and each is sent all the same once it has waited.
BOOST_AUTO_TEST_CASE(prompts_wait_for_each_other_and_none_is_refused) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"m"}, 8);
  for (auto i = 0; i < 3; ++i) {
    harness.ExpectNext({{}, ending::hang});
  }
  const auto fields = std::string(
      "Ebonythread-Model: m\r\nEbonythread-Token-Counts: 3000,10\r\n");
  for (const auto* id : {"a", "b", "c"}) {
    harness.Call(MakeRequest("model", id, fields, "prompt"));
  }
  harness.RunUntil([&] { return CountReceived(harness) >= 1; });
  harness.RunFor(milliseconds(30));
  BOOST_TEST(CountReceived(harness) == 1U);
  harness.RunUntil([&] { return CountReceived(harness) == 3; });
}

// Without a free slot a request waits past its objective, then gets an answer
// that is true and says when to come back.
BOOST_AUTO_TEST_CASE(a_full_engine_refuses_in_the_end) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"m"}, 1);
  harness.ExpectNext({{}, ending::hang});
  const auto fields = std::string("Ebonythread-Model: m\r\n");
  harness.Call(MakeRequest("model", "a", fields, "prompt"));
  harness.RunUntil([&] { return CountReceived(harness) == 1; });
  const auto view = harness.Call(MakeRequest("model", "b", fields, "prompt"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 503);
  BOOST_TEST(view->head.Find("Retry-After") != nullptr);
  BOOST_TEST(CountReceived(harness) == 1U);
}

BOOST_AUTO_TEST_CASE(a_model_that_comes_soon_is_waited_for) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"n"}, 4);
  const auto view = harness.Call(
      MakeRequest("model", "a", "Ebonythread-Model: m\r\n", "prompt"));
  harness.RunUntil([&] {
    return !harness.syncs.back().demands().empty() &&
           harness.syncs.back().demands(0).refused() == 1;
  });
  BOOST_TEST(!view->is_whole);
  harness.SetEngine(0, {"n", "m"}, 4);
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 200);
}

BOOST_AUTO_TEST_CASE(a_model_that_takes_long_is_refused_at_once) {
  auto harness = gateway_harness(1);
  harness.SetEngine(0, {"m"}, 4);
  const auto view = harness.Call(
      MakeRequest("model", "a", "Ebonythread-Model: n\r\n", "prompt"));
  harness.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 503);
  BOOST_TEST(std::stod(*view->head.Find("Retry-After")) > 1.0);
}

// A caller that does not get its whole request across, in each way.
BOOST_AUTO_TEST_CASE(a_request_that_is_not_whole_is_never_sent_on) {
  auto harness = gateway_harness(1);
  const auto smuggled = harness.Call(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/y "
      "HTTP/1.1\r\n\r\n");
  harness.RunUntil([&] { return smuggled->is_whole || smuggled->is_closed; });
  BOOST_TEST(smuggled->status == 400);
  const auto half = harness.Call(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nhalf");
  harness.RunFor(milliseconds(100));
  harness.Leave(half);
  harness.RunFor(milliseconds(100));
  BOOST_TEST(CountReceived(harness) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
