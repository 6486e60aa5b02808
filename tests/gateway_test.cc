#include <boost/test/unit_test.hpp>

#include "tests/gateway_world.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using ending = server_script::ending;

constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
    "Ebonythread-Response-Seal: seal-$ID\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

auto CountArrived(const gateway_world& world) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& server : world.servers) {
    count += server->get_arrived().size();
  }
  return count;
}

// Plays one script for the first request and returns what the caller got.
auto Play(gateway_world& world,
          const std::string& route,
          server_script script,
          const std::string& fields = {}) -> std::shared_ptr<caller_view> {
  for (const auto& server : world.servers) {
    server->Expect(script);
  }
  const auto view = world.Call(MakeRequest(route, "id-1", fields));
  world.RunUntil([&] { return view->is_whole || view->is_closed; });
  return view;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(gateway)

BOOST_AUTO_TEST_CASE(a_whole_answer_passes_unchanged) {
  auto world = gateway_world(1);
  const auto view = world.Call(
      MakeRequest("once", "id-1", "Ebonythread-Hold: 5\r\n", "a body"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 200);
  BOOST_TEST(view->body == "whole");
  BOOST_TEST(*view->head.Find("Ebonythread-Response-Seal") == "seal-id-1");
  const auto& request = *world.servers[0]->get_arrived().at(0);
  BOOST_TEST(request.head.target == "/once/x");
  BOOST_TEST(request.body == "a body");
  BOOST_TEST(request.head.Find("Ebonythread-Hold") == nullptr);
  BOOST_TEST(*request.head.Find("Ebonythread-Expect-Instance") == "i-0");
}

BOOST_AUTO_TEST_CASE(no_route_is_404_and_no_configuration_is_never_404) {
  auto world = gateway_world(1);
  const auto view = world.Call(MakeRequest("nowhere", "id-1"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 404);
}

// The load: callers come back to a gateway that has just been restarted.
BOOST_AUTO_TEST_CASE(an_early_call_waits_for_the_first_configuration) {
  auto world = gateway_world(1);
  world.Restart();
  const auto view = world.Call(MakeRequest("plain", "id-1"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 200);
}

BOOST_AUTO_TEST_CASE(without_a_configuration_the_refusal_is_true_and_not_404) {
  auto world = gateway_world(1);
  world.SetSilent(true);
  world.Restart();
  const auto view = world.Call(
      MakeRequest("plain", "id-1", "Ebonythread-Deadline-Ms: 400\r\n"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 503);
  BOOST_TEST(view->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_late_answer_to_another_request_is_skipped) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.sends = {
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: other\r\n"
      "Ebonythread-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong" +
      MakeAnswer(200, "right")};
  const auto view = Play(world, "plain", script);
  BOOST_TEST(view->status == 200);
  BOOST_TEST(view->body == "right");
}

BOOST_AUTO_TEST_CASE(surplus_bytes_never_reach_another_request) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.sends = {MakeAnswer(200, "first") + "HTTP/1.1 200 OK\r\n"};
  BOOST_TEST(Play(world, "plain", script)->body == "first");
  const auto next = world.Call(MakeRequest("plain", "id-2"));
  world.RunUntil([&] { return next->is_whole; });
  BOOST_TEST(next->body == "whole");
  BOOST_TEST(world.servers[0]->get_connections() == 2);
}

BOOST_AUTO_TEST_CASE(kept_connections_are_used_again) {
  auto world = gateway_world(1);
  for (const auto* id : {"a", "b", "c"}) {
    const auto view = world.Call(MakeRequest("plain", id));
    world.RunUntil([&] { return view->is_whole; });
  }
  BOOST_TEST(world.servers[0]->get_connections() == 1);
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
    auto world = gateway_world(2);
    const auto view = Play(world, "once", script);
    BOOST_TEST_CONTEXT("script "
                       << (script.sends.empty() ? std::string("without bytes")
                                                : script.sends.front())) {
      BOOST_TEST(view->status == 502);
      BOOST_TEST(view->head.Find("Ebonythread-Response-Seal") == nullptr);
      BOOST_TEST(CountArrived(world) == 1U);
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
    auto world = gateway_world(2);
    world.ExpectNext(script);
    const auto view = world.Call(MakeRequest("plain", "id-1"));
    world.RunUntil([&] { return view->is_whole; });
    BOOST_TEST(view->status == 200);
    BOOST_TEST(view->body == "whole");
    BOOST_TEST(world.servers[0]->get_arrived().size() == 1U);
    BOOST_TEST(world.servers[1]->get_arrived().size() == 1U);
  }
}

// A server that cannot be connected to was not sent anything: also a request
// that may be sent to one server only goes on.
BOOST_AUTO_TEST_CASE(an_unreached_server_is_no_attempt) {
  auto world = gateway_world(3);
  for (const auto server : {0U, 1U, 2U}) {
    world.SetEngine(server, {"m"}, 4);
  }
  world.servers[0]->Stop();
  world.servers[1]->Stop();
  for (const auto* id : {"a", "b", "c", "d"}) {
    const auto view = world.Call(
        MakeRequest("model", id, "Ebonythread-Model: m\r\n", "prompt"));
    world.RunUntil([&] { return view->is_whole; });
    BOOST_TEST(view->status == 200);
  }
  BOOST_TEST(world.servers[2]->get_arrived().size() == 4U);
}

BOOST_AUTO_TEST_CASE(an_answer_without_length_is_whole_at_an_orderly_close) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.sends = {
      "HTTP/1.1 200 OK\r\nEbonythread-Request-Id: $ID\r\n"
      "Ebonythread-Response-Seal: s\r\n\r\nall of it"};
  script.end = ending::close;
  const auto view = Play(world, "once", script);
  BOOST_TEST(view->status == 200);
  BOOST_TEST(view->body == "all of it");
}

BOOST_AUTO_TEST_CASE(a_server_that_did_not_run_it_leaves_a_true_refusal) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.sends = {
      "HTTP/1.1 503 X\r\nEbonythread-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"};
  const auto view = Play(world, "once", script);
  BOOST_TEST(view->status == 503);
  BOOST_TEST(view->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(a_failure_of_the_server_keeps_status_and_signature) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.sends = {MakeAnswer(500, "broken")};
  const auto view = Play(world, "once", script);
  BOOST_TEST(view->status == 500);
  BOOST_TEST(view->body == "broken");
  BOOST_TEST(*view->head.Find("Ebonythread-Response-Seal") == "seal-id-1");
}

BOOST_AUTO_TEST_CASE(a_failure_stands_when_the_second_server_fails_too) {
  auto world = gateway_world(2);
  auto script = server_script();
  script.sends = {MakeAnswer(500, "broken")};
  const auto view = Play(world, "plain", script);
  BOOST_TEST(view->status == 500);
  BOOST_TEST(CountArrived(world) == 2U);
}

BOOST_AUTO_TEST_CASE(events_pass_as_they_come_and_the_stream_ends_whole) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.sends = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n"),
                  RenderChunk("id: 2\ndata: b\n\n") + RenderChunk({})};
  const auto view = Play(world, "stream", script);
  BOOST_TEST(view->is_whole);
  BOOST_TEST(view->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(the_first_event_does_not_wait_for_the_second) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.sends = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::hang;
  world.servers[0]->Expect(script);
  const auto view = world.Call(MakeRequest("stream", "id-1"));
  world.RunUntil([&] { return !view->body.empty(); });
  BOOST_TEST(!view->is_whole);
}

BOOST_AUTO_TEST_CASE(a_cut_stream_does_not_look_complete) {
  auto world = gateway_world(2);
  auto script = server_script();
  script.sends = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::reset;
  const auto view = Play(world, "stream", script);
  BOOST_TEST(view->status == 200);
  BOOST_TEST(view->is_closed);
  BOOST_TEST(!view->is_whole);
  BOOST_TEST(CountArrived(world) == 1U);
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_is_joined_without_gap_or_repeat) {
  for (const auto end : {ending::reset, ending::close, ending::hang}) {
    auto world = gateway_world(2);
    world.ExpectNext(
        {{kStreamHead + RenderChunk("id: 1\ndata: a\n\nid: 2\nda")}, end});
    world.ExpectNext(
        {{kStreamHead + RenderChunk("id: 2\ndata: b\n\n") + RenderChunk({})},
         ending::keep});
    const auto view = world.Call(MakeRequest("resume", "id-1"));
    world.RunUntil([&] { return view->is_whole; });
    BOOST_TEST(view->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    auto resumed = 0;
    for (const auto& server : world.servers) {
      const auto& request = *server->get_arrived().at(0);
      const auto* after = request.head.Find("Last-Event-Id");
      resumed += after != nullptr && *after == "1" ? 1 : 0;
    }
    BOOST_TEST(resumed == 1);
  }
}

// Two attempts are all that the route allows.
BOOST_AUTO_TEST_CASE(a_stream_that_is_cut_twice_breaks_off) {
  auto world = gateway_world(3);
  for (auto i = 0; i < 3; ++i) {
    world.ExpectNext(
        {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::reset});
  }
  const auto view = world.Call(MakeRequest("resume", "id-1"));
  world.RunUntil([&] { return view->is_closed; });
  BOOST_TEST(CountArrived(world) == 2U);
}

BOOST_AUTO_TEST_CASE(a_silent_stream_is_kept_while_nobody_can_take_it_over) {
  auto world = gateway_world(1);
  world.ExpectNext(
      {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::hang});
  const auto view = world.Call(MakeRequest("resume", "id-1"));
  world.RunUntil([&] { return !view->body.empty(); });
  world.RunFor(milliseconds(1200));  // longer than a stall takes
  BOOST_TEST(!view->is_closed);
  BOOST_TEST(!world.servers[0]->get_arrived()[0]->is_gone);
}

// With nobody to go on, a stream that has begun still gets its end.
BOOST_AUTO_TEST_CASE(a_cut_stream_that_nobody_takes_over_breaks_off) {
  auto world = gateway_world(1);
  world.ExpectNext(
      {{kStreamHead + RenderChunk("id: 1\ndata: a\n\n")}, ending::reset});
  const auto view = world.Call(MakeRequest("resume", "id-1"));
  world.RunUntil([&] { return view->is_closed; });
  BOOST_TEST(!view->is_whole);
}

BOOST_AUTO_TEST_CASE(work_ends_when_its_caller_leaves) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.sends = {kStreamHead + RenderChunk("id: 1\ndata: a\n\n")};
  script.end = ending::hang;
  world.servers[0]->Expect(script);
  const auto view = world.Call(MakeRequest("stream", "id-1"));
  world.RunUntil([&] { return !view->body.empty(); });
  world.Leave(view);
  world.RunUntil([&] { return world.servers[0]->get_arrived()[0]->is_gone; });
}

BOOST_AUTO_TEST_CASE(the_routes_time_limit_ends_a_silent_request) {
  auto world = gateway_world(1);
  auto script = server_script();
  script.end = ending::hang;
  const auto view =
      Play(world, "once", script, "Ebonythread-Deadline-Ms: 300\r\n");
  BOOST_TEST(view->status == 504);
  BOOST_TEST(world.servers[0]->get_arrived()[0]->is_gone);
}

BOOST_AUTO_TEST_CASE(a_leaving_server_gets_nothing_new) {
  auto world = gateway_world(2);
  world.SetLeaving(0);
  for (auto i = 0; i < 6; ++i) {
    const auto view =
        world.Call(MakeRequest("plain", "id-" + std::to_string(i)));
    world.RunUntil([&] { return view->is_whole; });
  }
  BOOST_TEST(world.servers[0]->get_arrived().empty());
  BOOST_TEST(world.servers[1]->get_arrived().size() == 6U);
}

BOOST_AUTO_TEST_CASE(without_a_server_the_refusal_comes_at_once) {
  auto world = gateway_world(1);
  world.SetLeaving(0);
  const auto view = world.Call(MakeRequest("once", "id-1"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 503);
  BOOST_TEST(view->head.Find("Retry-After") != nullptr);
}

BOOST_AUTO_TEST_CASE(an_older_configuration_changes_nothing) {
  auto world = gateway_world(1);
  world.SetConfig(R"({"version":5,"routes":[],"services":[{"name":"s"}]})", 5);
  const auto view = world.Call(MakeRequest("plain", "id-1"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 404);
  BOOST_TEST(world.syncs.back().have_config() == 5U);
  world.SetConfig(R"({"version":4,"routes":[],"services":[{"name":"t"}]})", 4);
  BOOST_TEST(world.syncs.back().have_config() == 5U);
}

BOOST_AUTO_TEST_CASE(a_draining_gateway_serves_on_and_says_so) {
  auto world = gateway_world(1);
  world.get_gateway().Drain();
  const auto view = world.Call(MakeRequest("plain", "id-1"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 200);
  BOOST_TEST(*view->head.Find("Connection") == "close");
  world.RunUntil([&] { return !world.syncs.back().ready(); });
}

// The load: several long prompts for one engine at once. They are read one
// after another, and each is sent all the same once it has waited.
BOOST_AUTO_TEST_CASE(prompts_wait_for_each_other_and_none_is_refused) {
  auto world = gateway_world(1);
  world.SetEngine(0, {"m"}, 8);
  for (auto i = 0; i < 3; ++i) {
    world.ExpectNext({{}, ending::hang});
  }
  const auto fields = std::string(
      "Ebonythread-Model: m\r\nEbonythread-Token-Counts: 3000,10\r\n");
  for (const auto* id : {"a", "b", "c"}) {
    world.Call(MakeRequest("model", id, fields, "prompt"));
  }
  world.RunUntil([&] { return CountArrived(world) >= 1; });
  world.RunFor(milliseconds(30));
  BOOST_TEST(CountArrived(world) == 1U);
  world.RunUntil([&] { return CountArrived(world) == 3; });
}

// Without a free slot a request waits past its objective, then gets an answer
// that is true and says when to come back.
BOOST_AUTO_TEST_CASE(a_full_engine_refuses_in_the_end) {
  auto world = gateway_world(1);
  world.SetEngine(0, {"m"}, 1);
  world.ExpectNext({{}, ending::hang});
  const auto fields = std::string("Ebonythread-Model: m\r\n");
  world.Call(MakeRequest("model", "a", fields, "prompt"));
  world.RunUntil([&] { return CountArrived(world) == 1; });
  const auto view = world.Call(MakeRequest("model", "b", fields, "prompt"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 503);
  BOOST_TEST(view->head.Find("Retry-After") != nullptr);
  BOOST_TEST(CountArrived(world) == 1U);
}

BOOST_AUTO_TEST_CASE(a_model_that_comes_soon_is_waited_for) {
  auto world = gateway_world(1);
  world.SetEngine(0, {"n"}, 4);
  const auto view = world.Call(
      MakeRequest("model", "a", "Ebonythread-Model: m\r\n", "prompt"));
  world.RunUntil([&] {
    return !world.syncs.back().demands().empty() &&
           world.syncs.back().demands(0).refused() == 1;
  });
  BOOST_TEST(!view->is_whole);
  world.SetEngine(0, {"n", "m"}, 4);
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 200);
}

BOOST_AUTO_TEST_CASE(a_model_that_takes_long_is_refused_at_once) {
  auto world = gateway_world(1);
  world.SetEngine(0, {"m"}, 4);
  const auto view = world.Call(
      MakeRequest("model", "a", "Ebonythread-Model: n\r\n", "prompt"));
  world.RunUntil([&] { return view->is_whole; });
  BOOST_TEST(view->status == 503);
  BOOST_TEST(std::stod(*view->head.Find("Retry-After")) > 1.0);
}

// A caller that does not get its whole request across, in each way.
BOOST_AUTO_TEST_CASE(a_request_that_is_not_whole_is_never_sent_on) {
  auto world = gateway_world(1);
  const auto smuggled = world.Call(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /once/y "
      "HTTP/1.1\r\n\r\n");
  world.RunUntil([&] { return smuggled->is_whole || smuggled->is_closed; });
  BOOST_TEST(smuggled->status == 400);
  const auto half = world.Call(
      "POST /once/x HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nhalf");
  world.RunFor(milliseconds(100));
  world.Leave(half);
  world.RunFor(milliseconds(100));
  BOOST_TEST(CountArrived(world) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
