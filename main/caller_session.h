#ifndef EBONY_MAIN_CALLER_SESSION_H_
#define EBONY_MAIN_CALLER_SESSION_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

#include "core/metrics.h"
#include "drivers/http_client.h"
#include "drivers/http_server.h"
#include "entry/request_coordinator.h"
#include "entry/sse_reader.h"

namespace ebony {

// The load that an engine states with its answer.
struct engine_load {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

// One caller's request on its way through an entry: its body, its connection,
// and the answer of the attempt that counts. It keeps itself alive through the
// callbacks of its attempts. What an earlier attempt still sends is dropped.
class caller_session : public std::enable_shared_from_this<caller_session> {
  mutable std::mutex mutex_;
  exchange_pointer exchange_;
  http_request request_;
  caller_request parsed_;
  metrics& metrics_;
  mono_time arrived_;
  attempt_number current_;
  sse_reader reader_;
  stream_deduplicator splice_;
  bool has_started_ = false;  // the caller has seen part of the answer
  bool is_stream_answer_ = false;
  bool has_first_byte_ = false;
  bool is_settled_ = false;
  int status_ = 0;
  std::string content_type_;
  std::string body_;
  std::string recorded_;
  std::optional<engine_load> load_;
  mono_time last_progress_;

  auto ForwardEvent(const sse_event& event) -> void;

 public:
  caller_session(exchange_pointer exchange,
                 http_request request,
                 caller_request parsed,
                 metrics& counters,
                 mono_time arrived);

  // Attempts; called from the HTTP client's thread.
  auto StartAttempt(attempt_number attempt) -> void;
  auto OnHead(attempt_number attempt, int status, const header_map& headers)
      -> void;
  // Returns the events shown so far when the decisions should hear of the
  // progress.
  auto OnData(attempt_number attempt, std::string_view bytes, mono_time now)
      -> std::optional<std::uint64_t>;
  auto OnEnd(attempt_number attempt, transfer_result end) -> attempt_result;

  // Final answers; only the first counts.
  auto Deliver(attempt_number attempt) -> void;
  auto Refuse(const refuse_action& refusal) -> void;
  auto Replay(const claim_outcome& outcome) -> void;
  auto DetachAttempt() -> void;

  auto get_parsed_request() const -> const caller_request& { return parsed_; }
  auto get_request() const -> const http_request& { return request_; }
  auto get_engine_load() const -> std::optional<engine_load>;
  auto get_exchange() const -> const exchange_pointer& { return exchange_; }
};

}  // namespace ebony

#endif  // EBONY_MAIN_CALLER_SESSION_H_
