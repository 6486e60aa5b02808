#include <boost/test/unit_test.hpp>

#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "main/caller_session.h"

namespace ebony::testing {

namespace {

const auto kEventStream = header_map{{"content-type", "text/event-stream"}};
const auto kJson = header_map{{"content-type", "application/json"}};
constexpr std::string_view kFirstEvent = "data: a\n\n";
constexpr std::string_view kDone = "data: [DONE]\n\n";

// A session whose caller's connection is not simulated: what it sends is read
// from the exchange.
struct session_under_test {
  metrics counters;
  exchange_pointer exchange = std::make_shared<http_exchange>(nullptr, -1);
  std::shared_ptr<caller_session> session;

  explicit session_under_test(const std::string& key = {}) {
    auto parsed = caller_request();
    parsed.is_stream = true;
    parsed.key = request_key(key);
    session = std::make_shared<caller_session>(exchange, http_request(), parsed,
                                               counters, mono_time());
  }

  // Runs one attempt and returns its result.
  auto RunAttempt(std::uint32_t number,
                  int status,
                  const header_map& headers,
                  std::string_view body,
                  transfer_result end) -> attempt_result {
    const auto attempt = attempt_number(number);
    session->StartAttempt(attempt);
    session->OnHead(attempt, status, headers);
    session->OnData(attempt, body, mono_time());
    return session->OnEnd(attempt, end);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(entry_answers)

BOOST_AUTO_TEST_CASE(a_stream_without_its_last_event_is_interrupted) {
  for (const auto* body :
       {"", "data: a\n\n", "data: a\n\ndata: [DONE]\n", "data: a\n\ndata: b"}) {
    auto test = session_under_test();
    const auto result =
        test.RunAttempt(1, 200, kEventStream, body, transfer_result::completed);
    BOOST_TEST((result.end == attempt_end::interrupted), "'" << body << "'");
  }
}

BOOST_AUTO_TEST_CASE(a_started_stream_is_not_completed_by_another_answer) {
  for (const auto status : {200, 404}) {
    auto test = session_under_test();
    test.RunAttempt(1, 200, kEventStream, kFirstEvent,
                    transfer_result::interrupted);
    const auto result =
        test.RunAttempt(2, status, kJson, "{}", transfer_result::completed);
    BOOST_TEST((result.end == attempt_end::interrupted), status);
  }
}

BOOST_AUTO_TEST_CASE(a_resumed_stream_needs_its_last_event_too) {
  const auto resumed = header_map{{"content-type", "text/event-stream"},
                                  {"x-resumed-after", "1"}};
  for (const auto is_done : {false, true}) {
    auto test = session_under_test();
    test.RunAttempt(1, 200, kEventStream, kFirstEvent,
                    transfer_result::interrupted);
    const auto body = std::string("data: b\n\n") +
                      std::string(is_done ? kDone : std::string_view("data"));
    const auto result =
        test.RunAttempt(2, 200, resumed, body, transfer_result::completed);
    BOOST_TEST((result.end == attempt_end::complete) == is_done);
  }
}

BOOST_AUTO_TEST_CASE(a_recorded_stream_is_whole_or_without_a_body) {
  constexpr auto kEvents = 100;
  for (const auto event_bytes : {10U, 1000U}) {
    auto test = session_under_test("key");
    auto body = std::string();
    for (auto i = 0; i < kEvents; ++i) {
      body += "data: " + std::string(event_bytes, 'x') + "\n\n";
    }
    body += kDone;
    const auto result =
        test.RunAttempt(1, 200, kEventStream, body, transfer_result::completed);
    BOOST_TEST((result.end == attempt_end::complete));
    BOOST_TEST((result.outcome.body.empty() || result.outcome.body == body));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace ebony::testing
