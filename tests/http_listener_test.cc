#include "drivers/http_listener.h"

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

// A listener whose responses the test writes, and one connection to it.
struct served_caller {
  event_loop loop;
  std::vector<response_pointer> responses;
  std::unique_ptr<http_listener> listener;
  std::shared_ptr<stream_socket> socket;
  std::string received;

  explicit served_caller(std::uint16_t port) {
    const auto address = host_port("127.0.0.1:" + std::to_string(port));
    listener = std::make_unique<http_listener>(
        loop, address, MakeOptions(),
        [this](const incoming_request&, const response_pointer& response) {
          responses.push_back(response);
        });
    socket = std::make_shared<stream_socket>(loop);
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [this](std::string_view bytes) { received += bytes; };
    socket->Connect(address, std::move(hooks));
  }

  auto Ask() -> response_pointer {
    const auto asked = responses.size();
    socket->Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    loop.Run([this, asked] { return responses.size() > asked; });
    return responses.back();
  }
};

// Below the ports that the kernel assigns; no other test listens here.
constexpr std::uint16_t kPort = 11871;

}  // namespace

BOOST_AUTO_TEST_SUITE(http_listener_rules)

// Guards against sessions that end while they write an answer.
BOOST_AUTO_TEST_CASE(a_caller_that_is_gone_is_reported_after_the_write) {
  using write = std::function<void(response_writer&)>;
  const auto writes = std::vector<write>{
      [](response_writer& response) { response.Begin(http_head()); },
      [](response_writer& response) { response.Append("more"); },
  };
  auto caller = served_caller(kPort);
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
  auto caller = served_caller(kPort + 1);
  const auto response = caller.Ask();
  caller.socket->Reset();
  auto head = http_head();
  head.status = 200;
  response->Respond(std::move(head), "body");
  BOOST_TEST(response->is_final());
  BOOST_TEST(caller.listener->get_connections() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
