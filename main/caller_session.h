#ifndef EBONY_MAIN_CALLER_SESSION_H_
#define EBONY_MAIN_CALLER_SESSION_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/metrics.h"
#include "core/request_limit.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "entry/request_coordinator.h"
#include "entry/sse_reader.h"

namespace ebony {

// The load that an engine reports in a response header.
struct engine_load {
  std::uint32_t running = 0;  // requests
  std::uint32_t queued = 0;   // requests
};

// What the header of a response says of the requests that the server accepts.
struct limit_statement {
  std::optional<request_rate> rate;  // absent: none is named
  bool is_unreadable = false;        // one is named but malformed
  bool is_from_success = false;      // only a success ends a limit
  // Time for which the server wants no request from this entry; of 503 only.
  std::optional<duration> retry_after;
  bool is_leaving = false;  // the server is about to stop

  // Returns true if nothing is said.
  auto IsEmpty() const -> bool {
    return !rate && !is_unreadable && !retry_after && !is_leaving;
  }
};

// One caller's request in an entry: its body, its connection, and the response
// of the current attempt. The callbacks of its attempts keep it alive. Data
// that arrives from an earlier attempt is ignored. Thread-safe.
class caller_session : public std::enable_shared_from_this<caller_session> {
  mutable std::mutex mutex_;
  exchange_pointer exchange_;
  http_request request_;
  caller_request parsed_;
  metrics& metrics_;
  mono_time arrived_;
  attempt_number current_;
  sse_reader event_reader_;
  stream_deduplicator deduplicator_;
  bool has_started_ = false;  // part of the response was sent to the caller
  bool is_stream_response_ = false;
  bool has_first_byte_ = false;
  bool is_answered_ = false;  // the final answer was given
  int status_ = 0;
  std::string content_type_;
  std::string body_;
  // Events of a keyed stream, for replays. Empty when it is too long.
  std::string recorded_stream_;
  bool is_too_long_to_record_ = false;
  std::optional<engine_load> load_;
  mono_time last_progress_;

  auto ForwardEvent(const sse_event& event) -> void;
  auto Record(std::string_view event) -> void;

 public:
  caller_session(exchange_pointer exchange,
                 http_request request,
                 caller_request parsed,
                 metrics& counters,
                 mono_time arrived);

  // Attempts. The callbacks are called on the HTTP client's thread; those of an
  // attempt other than the latest are ignored.
  auto StartAttempt(attempt_number attempt) -> void;
  // Returns what the response says of the server's limit, also of an earlier
  // attempt.
  auto OnHead(attempt_number attempt, int status, const header_map& headers)
      -> limit_statement;
  // Forwards a part of the response body. Returns the number of events
  // forwarded so far when progress is due to be reported, at most once every
  // 100 ms.
  auto OnData(attempt_number attempt, std::string_view bytes, mono_time now)
      -> std::optional<std::uint64_t>;
  // Returns the result of the attempt, with the response to record if the
  // request has an idempotency key.
  auto OnEnd(attempt_number attempt, transfer_result end) -> attempt_result;

  // Final answers; only the first is sent.
  // Sends the response of the attempt, or completes its stream.
  auto Deliver(attempt_number attempt) -> void;
  // Sends an error. A stream that has started ends with an error event instead.
  auto Reject(const refuse_action& rejection) -> void;
  // Sends the recorded response of an earlier request with the same key.
  auto Replay(const claim_outcome& outcome) -> void;
  // Ignores all further data of the current attempt.
  auto DetachAttempt() -> void;

  auto get_parsed_request() const -> const caller_request& { return parsed_; }
  auto get_request() const -> const http_request& { return request_; }
  // Returns the load reported with the latest response, if any.
  auto get_engine_load() const -> std::optional<engine_load>;
  auto get_exchange() const -> const exchange_pointer& { return exchange_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_CALLER_SESSION_H_
