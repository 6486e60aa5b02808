#ifndef EBONY_CORE_CALLER_TERMS_H_
#define EBONY_CORE_CALLER_TERMS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/domain.h"
#include "core/ids.h"

namespace ebony {

// The id that a caller gave to one attempt of its request.
using caller_request_id =
    strong_type<struct caller_request_id_tag, std::string>;

// A part of a prompt that requests may share.
struct prompt_part {
  std::uint64_t id = 0;
  std::uint64_t tokens = 0;
};

// What a caller's request says of itself.
struct caller_terms {
  caller_request_id id;
  std::string host;  // without a port
  std::string path;  // without the query
  model_name model;  // empty for a plain service
  adapter_name adapter;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t max_output_tokens = 0;
  std::optional<std::uint64_t> expected_output_tokens;  // often far off
  std::vector<prompt_part> prompt;                      // in order
  std::optional<duration> deadline;  // from the arrival of the request
};

// What a backend server's answer says besides its body.
struct server_answer {
  caller_request_id echoed_id;  // empty when it echoes none
  int status = 0;
  bool is_sealed = false;   // carries the server's signature
  bool not_run = false;     // states that the request has not run
  bool is_encoded = false;  // carries a content encoding nobody asked for
  bool is_event_stream = false;
  backend_name instance;  // the server that answered, where it says so
};

}  // namespace ebony

#endif  // EBONY_CORE_CALLER_TERMS_H_
