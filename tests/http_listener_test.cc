#include "drivers/http_listener.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace ebony::testing {

namespace {

auto MakeOptions() -> http_listener::options {
  auto options = http_listener::options();
  options.get_limits = [] { return connection_limits(); };
  options.is_closing = [] { return false; };
  return options;
}

// Returns a loopback address that no other test process uses, and a port of its
// own in this one.
auto MakeAddress() -> host_port {
  constexpr auto kFirstPort = 12000;
  constexpr auto kByte = 256;
  static auto port = kFirstPort;
  const auto pid = static_cast<int>(::getpid());
  return host_port("127.77." + std::to_string(pid / kByte % kByte) + "." +
                   std::to_string(pid % kByte) + ":" + std::to_string(++port));
}

// A listener whose responses the test writes, and one connection to it.
struct served_caller {
  event_loop loop;
  std::vector<response_pointer> responses;
  std::unique_ptr<http_listener> listener;
  std::shared_ptr<stream_socket> socket;
  std::string received;

  std::vector<std::string> bodies;  // of the requests
  bool responds_at_once = false;
  bool is_closing = false;  // the listener closes with each response
  bool is_closed = false;   // the connection has ended

  explicit served_caller(http_listener::options options = MakeOptions()) {
    const auto address = MakeAddress();
    options.is_closing = [this] { return is_closing; };
    listener = std::make_unique<http_listener>(
        loop, address, std::move(options),
        [this](const incoming_request& request,
               const response_pointer& response) {
          responses.push_back(response);
          bodies.push_back(request.body);
          if (responds_at_once) {
            auto head = http_head();
            head.status = 200;
            response->Respond(std::move(head), {});
          }
        });
    socket = std::make_shared<stream_socket>(loop);
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [this](std::string_view bytes) { received += bytes; };
    hooks.on_close = [this](socket_close_reason) { is_closed = true; };
    socket->Connect(address, std::move(hooks));
  }

  auto RunFor(duration time) -> void {
    auto is_over = false;
    loop.AddTimerIn(time, [&is_over] { is_over = true; });
    loop.Run([&is_over] { return is_over; });
  }
  // Sends `start`, and then `filler` until the connection is closed or it has
  // been sent `bytes` of it.
  auto SendWithoutEnd(const std::string& start,
                      const std::string& filler,
                      std::size_t bytes) -> void {
    socket->Send(start);
    auto sent = std::size_t{0};
    while (!is_closed && sent < bytes) {
      if (socket->get_unsent_bytes() < filler.size()) {
        socket->Send(filler);
        sent += filler.size();
      }
      auto rounds = 0;
      loop.AddTimerIn(duration(0), [] {});
      loop.Run([&rounds] { return rounds++ > 0; });
    }
  }
  auto CountResponses() const -> std::size_t {
    auto count = std::size_t{0};
    for (auto at = received.find("HTTP/1.1 "); at != std::string::npos;
         at = received.find("HTTP/1.1 ", at + 1)) {
      ++count;
    }
    return count;
  }

  auto Ask() -> response_pointer {
    const auto asked = responses.size();
    socket->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.Run([this, asked] { return responses.size() > asked; });
    return responses.back();
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_listener_rules)

// Guards against sessions that end while they write an answer.
BOOST_AUTO_TEST_CASE(a_caller_that_is_gone_is_reported_after_the_write) {
  using write = std::function<void(response_writer&)>;
  const auto writes = std::vector<write>{
      [](response_writer& response) { response.Begin(http_head()); },
      [](response_writer& response) { response.Append("more"); },
  };
  auto caller = served_caller();
  const auto response = caller.Ask();
  auto is_writing = false;
  auto is_gone = false;
  auto is_gone_while_writing = false;
  response->SetOnDisconnect([&] {
    is_gone = true;
    is_gone_while_writing = is_writing;
  });
  caller.socket->Reset();
  for (const auto& item : writes) {
    is_writing = true;
    item(*response);
    is_writing = false;
  }
  BOOST_TEST(!is_gone);
  caller.loop.Run([&is_gone] { return is_gone; });
  BOOST_TEST(!is_gone_while_writing);
  BOOST_TEST(caller.listener->get_connections() == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_to_a_caller_that_is_gone_closes_its_connection) {
  auto caller = served_caller();
  const auto response = caller.Ask();
  caller.socket->Reset();
  auto head = http_head();
  head.status = 200;
  response->Respond(std::move(head), "body");
  BOOST_TEST(response->is_final());
  BOOST_TEST(caller.listener->get_connections() == 0U);
}

// Guards against a loop without end over the bytes after such a request.
BOOST_AUTO_TEST_CASE(nothing_is_read_after_a_response_that_closes) {
  const auto get = std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  const auto last =
      std::string("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  for (const auto& more : {std::string("\r\n\n"), get, std::string("junk")}) {
    auto caller = served_caller();
    caller.responds_at_once = true;
    caller.socket->Send(last + more);
    caller.loop.Run([&caller] { return caller.is_closed; });
    BOOST_TEST(caller.responses.size() == 1U);
    BOOST_TEST(caller.CountResponses() == 1U);
    auto stopping = served_caller();
    stopping.responds_at_once = true;
    stopping.is_closing = true;
    stopping.socket->Send(get + more);
    stopping.loop.Run([&stopping] { return stopping.is_closed; });
    BOOST_TEST(stopping.responses.size() == 1U);
  }
}

BOOST_AUTO_TEST_CASE(nothing_is_read_after_a_late_response_that_closes) {
  auto caller = served_caller();
  const auto response = caller.Ask();
  caller.is_closing = true;
  caller.socket->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  caller.RunFor(std::chrono::milliseconds(20));
  auto head = http_head();
  head.status = 200;
  response->Respond(std::move(head), {});
  caller.loop.Run([&caller] { return caller.is_closed; });
  BOOST_TEST(caller.responses.size() == 1U);
}

// Guards against a stack that grows with each request that is sent ahead.
BOOST_AUTO_TEST_CASE(many_requests_sent_ahead_are_answered_one_by_one) {
  constexpr auto kRequests = std::size_t{10000};
  auto caller = served_caller();
  const auto first = caller.Ask();
  caller.responds_at_once = true;
  for (auto i = std::size_t{0}; i < kRequests; ++i) {
    caller.socket->Send("GET / HTTP/1.1\r\n\r\n");
  }
  caller.RunFor(std::chrono::milliseconds(50));
  BOOST_TEST(caller.responses.size() == 1U);
  auto head = http_head();
  head.status = 200;
  first->Respond(std::move(head), {});
  caller.loop.Run([&caller] {
    return caller.is_closed || caller.CountResponses() > kRequests;
  });
  BOOST_TEST(!caller.is_closed);
}

// Each would otherwise be kept as long as it comes.
BOOST_AUTO_TEST_CASE(a_request_without_end_is_rejected) {
  constexpr auto kMaxBytes = std::size_t{16} * 1024 * 1024;
  const auto piece = std::string(16 * 1024, 'x');
  const auto post = std::string("POST / HTTP/1.1\r\nHost: h\r\n");
  const auto chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  struct endless {
    std::string name;
    std::string start;
    std::string filler;
    std::string status;
  };
  const auto cases = std::vector<endless>{
      {"a target", "GET /", piece, "431"},
      {"a field", post + "X: ", piece, "431"},
      {"fields", post, "X: y\r\n", "431"},
      {"a body in chunks", chunked, RenderChunk(piece), "413"},
      {"a stated length", post + "Content-Length: 99999999999\r\n\r\n", piece,
       "413"},
      {"a chunk's extension", chunked + "5;", piece, "400"},
      {"extensions of chunks", chunked, "1;" + piece + "\r\nx\r\n", "413"},
      {"trailers", chunked + "0\r\n", "X: y\r\n", "4"},
  };
  for (const auto& item : cases) {
    BOOST_TEST_CONTEXT(item.name) {
      auto options = MakeOptions();
      options.get_limits = [] {
        auto limits = connection_limits();
        limits.body_bytes = 256;
        return limits;
      };
      auto caller = served_caller(options);
      caller.SendWithoutEnd(item.start, item.filler, kMaxBytes);
      BOOST_TEST(caller.is_closed);
      BOOST_TEST(caller.received.starts_with("HTTP/1.1 " + item.status),
                 caller.received.substr(0, 40));
      BOOST_TEST(caller.responses.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_body_has_the_limit_of_its_request) {
  auto options = MakeOptions();
  options.get_body_limit = [](const http_head& head) {
    return head.target == "/long" ? std::uint64_t{100} : std::uint64_t{10};
  };
  const auto send = [&options](const std::string& target, std::size_t bytes) {
    auto caller = served_caller(options);
    caller.responds_at_once = true;
    caller.socket->Send(
        "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
        std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'));
    caller.loop.Run([&caller] { return caller.CountResponses() > 0; });
    return caller.received.substr(9, 3);
  };
  BOOST_TEST(send("/long", 100) == "200");
  BOOST_TEST(send("/long", 101) == "413");
  BOOST_TEST(send("/short", 10) == "200");
  BOOST_TEST(send("/short", 11) == "413");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
