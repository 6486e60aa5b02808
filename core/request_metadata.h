#ifndef EBONY_CORE_REQUEST_METADATA_H_
#define EBONY_CORE_REQUEST_METADATA_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/domain.h"
#include "core/ids.h"
#include "core/quota.h"
#include "core/request_limit.h"

namespace ebony {

// The id that a caller assigned to one attempt of its request.
using caller_request_id =
    strong_type<struct caller_request_id_tag, std::string>;

// One segment of a prompt. Requests can have segments in common.
struct prompt_segment {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

// Properties of a request as stated by the caller, apart from its body.
struct request_metadata {
  caller_request_id id;
  std::string host;  // without a port
  std::string path;  // without the query
  model_name model;  // empty for a service without models
  adapter_name adapter;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  // The caller's estimate, which can be far off.
  std::optional<std::uint64_t> expected_output_tokens;
  std::vector<prompt_segment> prompt_segments;  // in prompt order
  // The caller takes up a stream that an earlier request began.
  bool takes_up_stream = false;
  std::optional<std::uint64_t> last_event_id;  // the last one that it has
  // The request that brought the first event.
  std::optional<caller_request_id> resumes;
  std::optional<duration> deadline;  // relative to the arrival of the request
  // Not stated by the caller, but found out by its key.
  caller_account account;
};

// Identifies what a request asks for: a hash of its host, method, target and
// body, which stay the same when a caller sends it again under another id.
using request_fingerprint =
    strong_type<struct request_fingerprint_tag, std::uint64_t>;

auto GetFingerprint(std::string_view host,
                    std::string_view method,
                    std::string_view target,
                    std::string_view body) -> request_fingerprint;

// Returns the ids of the segments in hexadecimal, separated by commas.
auto GetSegmentsText(const std::vector<prompt_segment>& segments)
    -> std::string;

// Properties of a backend server's answer, apart from its body.
struct server_answer {
  caller_request_id echoed_id;  // empty when the server sent none
  int status = 0;
  bool is_signed = false;  // has a signature of the server
  bool not_run = false;    // states that the request was not executed
  bool has_content_encoding = false;  // encoding that was not requested
  // The body is a stream of events, or its type is not stated.
  bool is_event_stream = false;
  backend_name backend;  // the server that answered; empty when not stated
  // Limit of the requests of all gateways together; absent when none is stated.
  std::optional<request_rate> limit;
  bool has_unreadable_limit = false;  // a limit is stated but malformed
  // Rejections in a second above which the server falls over; absent when none
  // are stated.
  std::optional<rejection_count> max_rejections;
  bool has_unreadable_max_rejections = false;
  // Time for which the server wants no request from this gateway; of 503 only.
  std::optional<duration> retry_after;
  bool has_unreadable_retry_after = false;
  bool is_leaving = false;  // the server is about to stop
  bool has_unreadable_leaving = false;
};

}  // namespace ebony

#endif  // EBONY_CORE_REQUEST_METADATA_H_
