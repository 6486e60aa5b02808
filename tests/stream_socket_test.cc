#include "drivers/stream_socket.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace ebony::testing {

namespace {

// Two ends of a connection on loopback.
struct socket_pair {
  event_loop loop;
  std::shared_ptr<stream_socket> near_end;
  std::shared_ptr<stream_socket> far_end;
  std::optional<socket_close_reason> close_reason;  // of the near end
  bool is_sending = false;
  bool is_closed_while_sending = false;

  socket_pair() {
    auto is_connected = false;
    auto acceptor =
        stream_acceptor(loop, host_port("127.0.0.1:0"), [&](int fd) {
          far_end = std::make_shared<stream_socket>(loop);
          auto hooks = stream_socket::hooks();
          hooks.on_bytes = [&is_connected](std::string_view) {
            is_connected = true;
          };
          far_end->Adopt(fd, std::move(hooks));
        });
    near_end = std::make_shared<stream_socket>(loop);
    auto hooks = stream_socket::hooks();
    hooks.on_close = [this](socket_close_reason reason) {
      close_reason = reason;
      is_closed_while_sending = is_sending;
    };
    near_end->Connect(
        host_port("127.0.0.1:" + std::to_string(acceptor.GetPort())),
        std::move(hooks));
    near_end->Send("x");
    loop.Run([&] { return is_connected; });
  }

  auto RunFor(duration time) -> void {
    auto is_over = false;
    loop.AddTimerIn(time, [&is_over] { is_over = true; });
    loop.Run([&is_over] { return is_over; });
  }

  auto SendNear() -> void {
    is_sending = true;
    near_end->Send("more");
    is_sending = false;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_socket_rules)

// Guards against callers of `Send` that go on with what its failure has ended.
BOOST_AUTO_TEST_CASE(a_failed_send_is_reported_after_it_has_returned) {
  auto pair = socket_pair();
  pair.far_end->Reset();
  pair.SendNear();
  BOOST_TEST(!pair.close_reason.has_value());
  BOOST_TEST(!pair.near_end->is_open());
  pair.loop.Run([&] { return pair.close_reason.has_value(); });
  BOOST_TEST((pair.close_reason == socket_close_reason::reset));
  BOOST_TEST(!pair.is_closed_while_sending);
}

BOOST_AUTO_TEST_CASE(
    a_send_that_is_forbidden_is_reported_after_it_has_returned) {
  auto pair = socket_pair();
  auto hooks = stream_socket::hooks();
  hooks.may_send = [] { return false; };
  hooks.on_close = [&pair](socket_close_reason reason) {
    pair.close_reason = reason;
    pair.is_closed_while_sending = pair.is_sending;
  };
  pair.near_end->SetHooks(std::move(hooks));
  pair.SendNear();
  pair.loop.Run([&] { return pair.close_reason.has_value(); });
  BOOST_TEST(!pair.is_closed_while_sending);
}

BOOST_AUTO_TEST_CASE(a_failed_send_is_not_reported_after_a_close) {
  for (const auto is_graceful : {true, false}) {
    auto pair = socket_pair();
    pair.far_end->Reset();
    pair.SendNear();
    is_graceful ? pair.near_end->CloseGracefully() : pair.near_end->Close();
    pair.RunFor(std::chrono::milliseconds(20));
    BOOST_TEST(!pair.close_reason.has_value());
  }
}

// Guards against one peer that sends without end and keeps all others waiting.
BOOST_AUTO_TEST_CASE(a_round_of_the_loop_reads_a_part_of_what_has_come) {
  constexpr auto kMaxBytes = std::size_t{512} * 1024;
  auto pair = socket_pair();
  auto received = std::size_t{0};
  auto most = std::size_t{0};
  auto hooks = stream_socket::hooks();
  hooks.on_bytes = [&received](std::string_view bytes) {
    received += bytes.size();
  };
  pair.near_end->SetHooks(std::move(hooks));
  const auto sent = std::string(std::size_t{2} * 1024 * 1024, 'x');
  pair.far_end->Send(sent);
  auto before = std::size_t{0};
  pair.loop.Run([&] {
    most = std::max(most, received - std::exchange(before, received));
    return received >= sent.size();
  });
  BOOST_TEST(most <= kMaxBytes);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
