#include "drivers/http_server.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "drivers/event_loop.h"
#include "drivers/stream_socket.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;
using request_handler =
    std::function<void(const std::string& path, const exchange_pointer&)>;

constexpr auto kAnswerLimit = milliseconds(5000);
// Time in which an answer too many would arrive.
constexpr auto kQuietTime = milliseconds(40);

// A server with the handler, and one raw connection to it.
struct raw_caller {
  event_loop loop;
  http_server server;
  std::shared_ptr<stream_socket> socket = std::make_shared<stream_socket>(loop);
  std::string received;

  explicit raw_caller(const request_handler& handler)
      : server({.address = host_port("127.0.0.1:0")},
               [handler](const http_request& request,
                         const exchange_pointer& exchange) {
                 handler(request.path, exchange);
               }) {
    server.Start();
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [this](std::string_view bytes) { received += bytes; };
    socket->Connect(host_port("127.0.0.1:" + std::to_string(server.get_port())),
                    std::move(hooks));
  }

  // Returns the bodies so far, each of which is one byte long.
  auto ReadBodies() const -> std::string {
    auto bodies = std::string();
    const auto end = std::string("\r\n\r\n");
    for (auto at = received.find(end);
         at != std::string::npos && at + end.size() < received.size();
         at = received.find(end, at + 1)) {
      bodies += received[at + end.size()];
    }
    return bodies;
  }

  auto RunFor(duration time) -> void {
    auto is_over = false;
    loop.AddTimerIn(time, [&is_over] { is_over = true; });
    loop.Run([&is_over] { return is_over; });
  }

  // Sends the bytes and waits until there are `count` bodies.
  auto SendAndWait(const std::string& bytes, std::size_t count) -> void {
    auto is_late = false;
    const auto limit =
        loop.AddTimerIn(kAnswerLimit, [&is_late] { is_late = true; });
    socket->Send(bytes);
    loop.Run([&] { return is_late || ReadBodies().size() >= count; });
    loop.CancelTimer(limit);
  }
};

auto MakeGet(const std::string& path) -> std::string {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server_rules)

// Tools and links keep connections to this server and match answers by order.
BOOST_AUTO_TEST_CASE(a_handler_that_answers_twice_sends_one_answer) {
  const auto ways = std::vector<std::pair<std::string, request_handler>>{
      {"respond",
       [](const std::string&, const exchange_pointer& exchange) {
         exchange->Respond(503, {}, "x");
       }},
      {"stream",
       [](const std::string&, const exchange_pointer& exchange) {
         exchange->StartStream(200, {});
         exchange->Write("x");
         exchange->Finish();
       }},
      {"throw", [](const std::string&, const exchange_pointer&) {
         throw ebony_error(error_kind::overloaded, "x");
       }}};
  for (const auto& [name, again] : ways) {
    BOOST_TEST_CONTEXT(name) {
      auto caller =
          raw_caller([&again = again](const std::string& path,
                                      const exchange_pointer& exchange) {
            exchange->Respond(200, {}, path.substr(1));
            again(path, exchange);
          });
      caller.SendAndWait(MakeGet("/1"), 1);
      caller.SendAndWait(MakeGet("/2"), 2);
      caller.RunFor(kQuietTime);
      BOOST_TEST(caller.ReadBodies() == "12");
    }
  }
}

BOOST_AUTO_TEST_CASE(an_answered_request_is_not_answered_in_place_of_the_next) {
  auto first = exchange_pointer();
  auto caller = raw_caller(
      [&first](const std::string& path, const exchange_pointer& exchange) {
        if (first) {
          first->Respond(503, {}, "x");
        } else {
          first = exchange;
        }
        exchange->Respond(200, {}, path.substr(1));
      });
  caller.SendAndWait(MakeGet("/1"), 1);
  caller.SendAndWait(MakeGet("/2"), 2);
  caller.RunFor(kQuietTime);
  BOOST_TEST(caller.ReadBodies() == "12");
}

BOOST_AUTO_TEST_CASE(a_slow_answer_is_not_overtaken_by_that_of_the_next_call) {
  auto slow = std::thread();
  auto caller = raw_caller(
      [&slow](const std::string& path, const exchange_pointer& exchange) {
        if (path == "/2") {
          exchange->Respond(200, {}, "2");
          return;
        }
        slow = std::thread([exchange] {
          std::this_thread::sleep_for(kQuietTime);
          exchange->Respond(200, {}, "1");
        });
      });
  caller.SendAndWait(MakeGet("/1") + MakeGet("/2"), 2);
  slow.join();
  BOOST_TEST(caller.ReadBodies() == "12");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
