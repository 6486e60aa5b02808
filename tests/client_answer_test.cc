#include <atomic>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "drivers/event_loop.h"
#include "drivers/http_client.h"
#include "drivers/stream_socket.h"
#include "main/backend_calls.h"
#include "tools/load_run.h"

namespace ebony::testing {

namespace {

using std::chrono::milliseconds;

constexpr auto kLoopTick = milliseconds(2);
// Time between a copy and the answer beside it, when they aren't sent at once.
constexpr auto kCopyGap = milliseconds(10);
// Time between two calls, in which a copy on an idle connection arrives.
constexpr auto kCallGap = milliseconds(40);

// When a server writes the copy of the first answer of a connection.
enum class copy_time {
  never,
  with_original,  // in one write with it
  idle,           // after it, before the next request
  before_next,    // after the next request has come, before its answer
  with_next,      // in one write with the answer to the next request
  inside_next,    // in the middle of that answer
  after_next,     // after that answer
};

const auto kCopyTimes = std::map<std::string, copy_time>{
    {"with original", copy_time::with_original},
    {"idle", copy_time::idle},
    {"before next", copy_time::before_next},
    {"with next", copy_time::with_next},
    {"inside next", copy_time::inside_next},
    {"after next", copy_time::after_next}};

const auto kHeadEnd = std::string("\r\n\r\n");
const auto kLengthField = std::string("Content-Length: ");

auto MakeAnswer(int status, const std::string& body) -> std::string {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

// A server on a thread of its own, which answers the first request of all with
// `first`, and each later one with the body of that request. It sends the first
// answer of each connection once more on the same connection.
class repeating_server {
  struct connection {
    std::shared_ptr<stream_socket> socket;
    std::string unread;
    int requests = 0;
    std::string copy;  // of its first answer
  };

  event_loop loop_;
  std::string first_;
  copy_time time_;
  duration first_delay_;  // before the first answer of all
  std::vector<std::shared_ptr<connection>> connections_;
  int requests_ = 0;
  std::atomic<int> connection_count_{0};
  std::atomic<bool> is_stopping_{false};
  stream_acceptor acceptor_;
  std::thread thread_;

  auto SendLater(const std::shared_ptr<connection>& to,
                 const std::string& bytes,
                 duration delay) -> void {
    loop_.AddTimerIn(delay, [weak = std::weak_ptr(to), bytes] {
      if (const auto known = weak.lock()) {
        known->socket->Send(bytes);
      }
    });
  }

  auto SendSecond(const std::shared_ptr<connection>& to,
                  const std::string& answer) -> void {
    switch (time_) {
      case copy_time::before_next:
        to->socket->Send(to->copy);
        SendLater(to, answer, kCopyGap);
        break;
      case copy_time::with_next:
        to->socket->Send(to->copy + answer);
        break;
      case copy_time::inside_next:
        to->socket->Send(answer.substr(0, answer.size() / 2));
        SendLater(to, to->copy + answer.substr(answer.size() / 2), kCopyGap);
        break;
      case copy_time::after_next:
        to->socket->Send(answer);
        SendLater(to, to->copy, kCopyGap);
        break;
      case copy_time::never:
      case copy_time::with_original:
      case copy_time::idle:
        to->socket->Send(answer);
        break;
    }
  }

  auto SendFirst(const std::shared_ptr<connection>& to,
                 const std::string& answer) -> void {
    to->copy = answer;
    if (requests_ == 1 && first_delay_ > duration(0)) {
      SendLater(to, answer, first_delay_);
      return;
    }
    to->socket->Send(time_ == copy_time::with_original ? answer + answer
                                                       : answer);
    if (time_ == copy_time::idle) {
      SendLater(to, answer, kCopyGap);
    }
  }

  auto Answer(const std::shared_ptr<connection>& to, const std::string& body)
      -> void {
    const auto answer = ++requests_ == 1 ? first_ : MakeAnswer(200, body);
    ++to->requests;
    if (to->requests == 1) {
      SendFirst(to, answer);
    } else if (to->requests == 2) {
      SendSecond(to, answer);
    } else {
      to->socket->Send(answer);
    }
  }

  auto Read(const std::shared_ptr<connection>& from, std::string_view bytes)
      -> void {
    from->unread += bytes;
    const auto head = from->unread.find(kHeadEnd);
    if (head == std::string::npos) {
      return;
    }
    const auto body = head + kHeadEnd.size();
    const auto length = from->unread.find(kLengthField);
    const auto size =
        std::stoul(from->unread.substr(length + kLengthField.size()));
    if (from->unread.size() < body + size) {
      return;
    }
    const auto text = from->unread.substr(body, size);
    from->unread.clear();
    Answer(from, text);
  }

  auto Accept(int fd) -> void {
    ++connection_count_;
    const auto item = std::make_shared<connection>();
    item->socket = std::make_shared<stream_socket>(loop_);
    connections_.push_back(item);
    auto hooks = stream_socket::hooks();
    hooks.on_bytes = [this,
                      weak = std::weak_ptr(item)](std::string_view bytes) {
      if (const auto known = weak.lock()) {
        Read(known, bytes);
      }
    };
    item->socket->Adopt(fd, std::move(hooks));
  }

 public:
  repeating_server(std::string first,
                   copy_time time,
                   duration first_delay = duration(0))
      : first_(std::move(first)),
        time_(time),
        first_delay_(first_delay),
        acceptor_(loop_, host_port("127.0.0.1:0"), [this](int fd) {
          Accept(fd);
        }) {
    thread_ = std::thread([this] {
      RepeatEvery(loop_, kLoopTick, [] {});
      loop_.Run([this] { return is_stopping_.load(); });
    });
  }
  ~repeating_server() {
    is_stopping_ = true;
    thread_.join();
  }
  repeating_server(const repeating_server&) = delete;
  auto operator=(const repeating_server&) -> repeating_server& = delete;

  auto GetAddress() const -> host_port {
    return host_port("127.0.0.1:" + std::to_string(acceptor_.GetPort()));
  }
  auto get_connections() const -> int { return connection_count_; }
};

auto MakeCall(const host_port& address, const std::string& body) -> http_call {
  auto call = http_call();
  call.url = "http://" + address.get() + "/";
  call.body = body;
  call.timeout = std::chrono::seconds(5);
  return call;
}

auto MakeKeptCall(const host_port& address, const std::string& body)
    -> http_call {
  auto call = MakeCall(address, body);
  call.connection = connection_use::kept;
  return call;
}

// Answers that a server may repeat: a refusal, with a body that looks like an
// answer too, and the whole answer to another caller.
const auto kFirstAnswers = std::vector<std::pair<int, std::string>>{
    {421, ""},
    {429, ""},
    {503, ""},
    {503, "HTTP/1.1 200 X\r\nContent-Length: 1\r\n\r\n2"},
    {200, "1"}};

// Makes three calls, one after the other, and checks that each gets its own
// answer: `first`, and then its own body.
auto CheckAnswers(
    const repeating_server& server,
    const std::pair<int, std::string>& first,
    const std::function<http_call(const host_port&, const std::string&)>& make)
    -> void {
  auto client = http_client(4);
  client.Start();
  const auto answer = CallAndWait(client, make(server.GetAddress(), "1"));
  BOOST_TEST(answer.status == first.first);
  BOOST_TEST(answer.body == first.second);
  for (const auto* number : {"2", "3"}) {
    std::this_thread::sleep_for(kCallGap);
    const auto call = make(server.GetAddress(), number);
    const auto next = CallAndWait(client, call);
    BOOST_TEST(next.status == 200);
    BOOST_TEST(next.body == call.body);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(client_answers)

BOOST_AUTO_TEST_CASE(a_repeated_answer_is_not_taken_for_that_of_the_next_call) {
  for (const auto& [name, time] : kCopyTimes) {
    for (const auto& [status, body] : kFirstAnswers) {
      BOOST_TEST_CONTEXT(name << ", " << status << " '" << body << "'") {
        auto server = repeating_server(MakeAnswer(status, body), time);
        CheckAnswers(server, {status, body}, MakeCall);
      }
    }
  }
}

// The second server has the address of the first.
BOOST_AUTO_TEST_CASE(an_attempt_gets_no_answer_to_another_attempt) {
  const auto make_attempt = [](const host_port& address,
                               const std::string& body) -> http_call {
    auto attempt = dispatch_action();
    attempt.backend = backend_name("engine-" + body);
    attempt.address = address;
    attempt.time_left = std::chrono::seconds(5);
    auto request = http_request();
    request.method = "POST";
    request.path = "/v1/completions";
    request.body = body;
    return MakeAttemptCall(attempt, request);
  };
  for (const auto& [name, time] : kCopyTimes) {
    for (const auto& [status, body] : kFirstAnswers) {
      BOOST_TEST_CONTEXT(name << ", " << status << " '" << body << "'") {
        auto server = repeating_server(MakeAnswer(status, body), time);
        CheckAnswers(server, {status, body}, make_attempt);
      }
    }
  }
}

// An order that counts as answered is closed while it may still be on its way.
BOOST_AUTO_TEST_CASE(an_order_gets_no_answer_to_another_order) {
  const auto make_order = [](const host_port& address,
                             const std::string& number) -> http_call {
    auto send = order_send();
    send.body.id = order_id(std::stoul(number));
    send.address = address;
    return MakeOrderCall(send, "");
  };
  for (const auto& [name, time] : kCopyTimes) {
    BOOST_TEST_CONTEXT(name) {
      auto server = repeating_server(MakeAnswer(409, ""), time);
      CheckAnswers(server, {409, ""}, make_order);
    }
  }
}

BOOST_AUTO_TEST_CASE(load_sent_straight_to_servers_shares_no_connection) {
  auto server = repeating_server(MakeAnswer(503, "{}"), copy_time::before_next);
  auto settings = schema::load_settings();
  settings.add_entries(server.GetAddress().get());
  settings.set_direct(true);
  settings.set_model("m");
  settings.set_seconds(1);
  settings.set_rate(20);
  settings.set_tokens(1);
  settings.set_timeout_ms(1000);
  const auto report = load_run(settings).Run();
  BOOST_TEST(report.sent > 1U);
  BOOST_TEST(static_cast<std::uint64_t>(server.get_connections()) ==
             report.sent);
}

BOOST_AUTO_TEST_CASE(an_own_connection_carries_no_other_call) {
  auto server = repeating_server(MakeAnswer(200, "1"), copy_time::never);
  auto client = http_client(4);
  client.Start();
  CallAndWait(client, MakeCall(server.GetAddress(), "1"));
  for (const auto* body : {"2", "3"}) {
    CallAndWait(client, MakeKeptCall(server.GetAddress(), body));
    BOOST_TEST(server.get_connections() == 2);
  }
  CallAndWait(client, MakeCall(server.GetAddress(), "4"));
  BOOST_TEST(server.get_connections() == 3);
}

BOOST_AUTO_TEST_CASE(
    a_kept_connection_gets_no_answer_to_a_call_that_timed_out) {
  auto server = repeating_server(MakeAnswer(200, "1"), copy_time::never,
                                 milliseconds(600));
  auto client = http_client(4);
  client.Start();
  auto call = MakeKeptCall(server.GetAddress(), "1");
  call.timeout = milliseconds(300);
  const auto first = CallAndWait(client, std::move(call));
  BOOST_TEST((first.end == transfer_result::interrupted));
  const auto second =
      CallAndWait(client, MakeKeptCall(server.GetAddress(), "2"));
  BOOST_TEST(second.body == "2");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
