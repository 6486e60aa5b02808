#include "drivers/http_pool.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <optional>

#include "platform/request_codec.h"

namespace ebony::testing {

namespace {

// A listener on loopback that counts the bytes it receives.
struct byte_counter {
  event_loop& loop;
  std::size_t received = 0;
  std::string answer = {};  // sent before it closes; empty: it does neither
  bool keeps_open = false;  // after an answer
  std::size_t resets_after = 0;  // bytes; 0: never
  std::vector<std::shared_ptr<stream_socket>> sockets;
  stream_acceptor acceptor;

  explicit byte_counter(event_loop& used_loop)
      : loop(used_loop),
        acceptor(loop, host_port("127.0.0.1:0"), [this](int fd) {
          Adopt(fd);
        }) {}

  auto Adopt(int fd) -> void {
    auto hooks = stream_socket::hooks();
    sockets.push_back(std::make_shared<stream_socket>(loop));
    const auto socket = sockets.back();
    hooks.on_bytes = [this, socket](std::string_view bytes) {
      received += bytes.size();
      if (resets_after > 0 && received >= resets_after) {
        socket->Reset();
        return;
      }
      if (!answer.empty()) {
        socket->Send(answer);
        keeps_open ? void() : socket->CloseGracefully();
      }
    };
    socket->Adopt(fd, std::move(hooks));
  }

  auto GetAddress() const -> host_port {
    return host_port("127.0.0.1:" + std::to_string(acceptor.GetPort()));
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(http_pool_rules)

// Load that it answers: a leader is paused while its connection for an order is
// being made, and has lost the leadership when the connection is ready.
BOOST_AUTO_TEST_CASE(a_call_that_may_no_longer_be_sent_sends_no_byte) {
  auto loop = event_loop();
  auto pool = http_pool(loop, &platform::DecodeAnsweredId);
  auto peer = byte_counter(loop);
  auto may_send = true;
  auto failure = std::optional<call_failure>();
  auto hooks = call_hooks();
  hooks.on_failed = [&failure](call_failure reason) { failure = reason; };
  auto options = MakeLinkOptions();
  options.may_send = [&may_send] { return may_send; };
  const auto call = pool.Start(peer.GetAddress(),
                               RenderPost("/order", peer.GetAddress(), "{}"),
                               false, options, std::move(hooks));
  may_send = false;  // after the call has started, before it is connected
  loop.Run([&] { return failure.has_value(); });
  BOOST_TEST((*failure == call_failure::not_sent));
  auto is_settled = false;
  loop.AddTimerIn(std::chrono::milliseconds(20),
                  [&is_settled] { is_settled = true; });
  loop.Run([&] { return is_settled; });
  BOOST_TEST(peer.received == 0U);
}

BOOST_AUTO_TEST_CASE(an_answer_whose_head_stops_is_interrupted) {
  const auto whole =
      std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  for (const auto left : {1U, 2U, 3U, 10U, 21U, 30U}) {
    auto loop = event_loop();
    auto pool = http_pool(loop, &platform::DecodeAnsweredId);
    auto peer = byte_counter(loop);
    peer.answer = whole.substr(0, whole.size() - left);
    auto failure = std::optional<call_failure>();
    auto is_complete = false;
    auto hooks = call_hooks();
    hooks.on_failed = [&failure](call_failure reason) { failure = reason; };
    hooks.on_complete = [&is_complete] { is_complete = true; };
    const auto call =
        pool.Start(peer.GetAddress(), RenderPost("/", peer.GetAddress(), "{}"),
                   false, MakeLinkOptions(), std::move(hooks));
    loop.Run([&] { return failure.has_value() || is_complete; });
    BOOST_TEST(!is_complete, peer.answer);
    BOOST_TEST((failure == call_failure::interrupted), peer.answer);
  }
}

// An attempt that counts as unsent is made again, whatever it may have run.
BOOST_AUTO_TEST_CASE(a_call_of_which_bytes_arrived_never_counts_as_unsent) {
  for (const auto is_used : {false, true}) {
    for (const auto body_bytes : {std::size_t{2}, std::size_t{4000000}}) {
      auto loop = event_loop();
      auto pool = http_pool(loop, &platform::DecodeAnsweredId);
      auto peer = byte_counter(loop);
      peer.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
      peer.keeps_open = true;
      auto is_over = false;
      auto failure = std::optional<call_failure>();
      const auto start = [&](const std::string& body) {
        is_over = false;
        auto hooks = call_hooks();
        hooks.on_complete = [&is_over] { is_over = true; };
        hooks.on_failed = [&](call_failure reason) {
          failure = reason;
          is_over = true;
        };
        static_cast<void>(pool.Start(
            peer.GetAddress(), RenderPost("/", peer.GetAddress(), body), false,
            MakeLinkOptions(), std::move(hooks)));
        loop.Run([&is_over] { return is_over; });
      };
      if (is_used) {
        start("{}");
        BOOST_TEST(!failure.has_value());
      }
      peer.resets_after = peer.received + 1;
      start(std::string(body_bytes, 'x'));
      BOOST_TEST(failure.has_value());
      BOOST_TEST((failure == call_failure::interrupted));
      BOOST_TEST(peer.sockets.size() == 1U);
    }
  }
}

// Guards against attempts that end before their handle is known, which were
// counted as running at their server for good.
BOOST_AUTO_TEST_CASE(a_call_on_a_broken_connection_fails_after_its_start) {
  auto loop = event_loop();
  auto pool = http_pool(loop, &platform::DecodeAnsweredId);
  auto peer = byte_counter(loop);
  peer.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  peer.keeps_open = true;
  const auto request = RenderPost("/", peer.GetAddress(), "{}");
  auto is_complete = false;
  auto first = call_hooks();
  first.on_complete = [&is_complete] { is_complete = true; };
  static_cast<void>(pool.Start(peer.GetAddress(), request, false,
                               MakeLinkOptions(), std::move(first)));
  loop.Run([&is_complete] { return is_complete; });
  peer.sockets.back()->Reset();
  auto is_started = false;
  auto failure = std::optional<call_failure>();
  auto has_failed_inside = false;
  auto second = call_hooks();
  second.on_failed = [&](call_failure reason) {
    failure = reason;
    has_failed_inside = !is_started;
  };
  const auto call = pool.Start(peer.GetAddress(), request, false,
                               MakeLinkOptions(), std::move(second));
  is_started = true;
  loop.Run([&failure] { return failure.has_value(); });
  BOOST_TEST(!has_failed_inside);
  BOOST_TEST((failure == call_failure::not_sent));
  BOOST_TEST(pool.get_opened_connections() == 1U);
}

// Guards against a look at the list of idle connections after its removal,
// which the address sanitizer reports.
BOOST_AUTO_TEST_CASE(a_connection_that_was_idle_for_too_long_is_replaced) {
  auto loop = event_loop();
  auto pool = http_pool(loop, &platform::DecodeAnsweredId);
  auto peer = byte_counter(loop);
  peer.answer =
      "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\n"
      "Content-Length: 0\r\n\r\n";
  peer.keeps_open = true;
  for (auto i = 0U; i < 3; ++i) {
    auto is_complete = false;
    auto hooks = call_hooks();
    hooks.on_complete = [&is_complete] { is_complete = true; };
    static_cast<void>(pool.Start(peer.GetAddress(),
                                 RenderPost("/", peer.GetAddress(), "{}"),
                                 false, MakeLinkOptions(), std::move(hooks)));
    loop.Run([&is_complete] { return is_complete; });
    auto is_later = false;
    loop.AddTimerIn(std::chrono::milliseconds(5),
                    [&is_later] { is_later = true; });
    loop.Run([&is_later] { return is_later; });
    BOOST_TEST(pool.get_opened_connections() == i + 1);
  }
}

// Nothing would tell its answer from one that comes late for an earlier call.
BOOST_AUTO_TEST_CASE(calls_without_id_have_connections_of_their_own) {
  for (const auto is_link : {false, true}) {
    auto loop = event_loop();
    auto pool = http_pool(loop, &platform::DecodeAnsweredId);
    auto peer = byte_counter(loop);
    peer.answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    peer.keeps_open = true;
    for (auto i = 0; i < 3; ++i) {
      auto is_complete = false;
      auto hooks = call_hooks();
      hooks.on_complete = [&is_complete] { is_complete = true; };
      static_cast<void>(pool.Start(
          peer.GetAddress(), RenderPost("/", peer.GetAddress(), "{}"), false,
          is_link ? MakeLinkOptions() : call_options(), std::move(hooks)));
      loop.Run([&is_complete] { return is_complete; });
    }
    BOOST_TEST(pool.get_opened_connections() == (is_link ? 1U : 3U));
    auto is_later = false;
    loop.AddTimerIn(std::chrono::milliseconds(20),
                    [&is_later] { is_later = true; });
    loop.Run([&is_later] { return is_later; });
    const auto open =
        std::count_if(peer.sockets.begin(), peer.sockets.end(),
                      [](const auto& socket) { return socket->is_open(); });
    BOOST_TEST(open == (is_link ? 1 : 0));
  }
}

BOOST_AUTO_TEST_CASE(a_body_over_the_limit_of_its_call_is_malformed) {
  constexpr auto kLimit = std::size_t{1000};
  const auto ok = std::string("HTTP/1.1 200 OK\r\n");
  for (const auto bytes : {kLimit, kLimit + 1}) {
    const auto body = std::string(bytes, 'x');
    for (const auto& answer :
         {ok + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + body,
          ok + "Transfer-Encoding: chunked\r\n\r\n" + RenderChunk(body) +
              RenderChunk({}),
          ok + "\r\n" + body}) {
      auto loop = event_loop();
      auto pool = http_pool(loop, &platform::DecodeAnsweredId);
      auto peer = byte_counter(loop);
      peer.answer = answer;
      auto failure = std::optional<call_failure>();
      auto is_complete = false;
      auto hooks = call_hooks();
      hooks.on_failed = [&failure](call_failure reason) { failure = reason; };
      hooks.on_complete = [&is_complete] { is_complete = true; };
      auto options = MakeLinkOptions();
      options.max_body_bytes = kLimit;
      static_cast<void>(pool.Start(peer.GetAddress(),
                                   RenderPost("/", peer.GetAddress(), "{}"),
                                   false, options, std::move(hooks)));
      loop.Run([&] { return failure.has_value() || is_complete; });
      BOOST_TEST(is_complete == (bytes == kLimit));
      BOOST_TEST((is_complete || failure == call_failure::malformed_response));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
