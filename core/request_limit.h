#ifndef EBONY_CORE_REQUEST_LIMIT_H_
#define EBONY_CORE_REQUEST_LIMIT_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/ids.h"

namespace ebony {

// Requests per 1,000 seconds.
using request_rate = strong_type<struct request_rate_tag, std::uint64_t>;

// Rejections in a second.
using rejection_count = strong_type<struct rejection_count_tag, std::uint32_t>;

// What a backend server said last about the requests that it accepts from all
// gateways together.
struct request_limit {
  std::optional<request_rate> rate;  // std::nullopt: any rate
  mono_time observed;                // arrival of the answer that said so
  // Set for a server that falls over above this number of rejections in a
  // second. It gets no more requests at once than it has slots.
  std::optional<rejection_count> max_rejections = std::nullopt;
  // The server has just started and has not answered yet; the others of its
  // service say so.
  bool is_presumed = false;
  // When the server last turned a request away, as far as is known.
  mono_time last_rejection = mono_time();
};

// Returns whether the requests to the server are limited at all.
auto IsLimited(const request_limit& limit) -> bool;

// Returns whether two statements say the same, whenever they were made.
auto IsSameStatement(const request_limit& left, const request_limit& right)
    -> bool;

// Returns false if no server has said this, now or earlier.
auto WasNamed(const request_limit& limit) -> bool;

// Returns whether the daemon that lists `listed` should be told of `known`: a
// server has said it since, and it is something else.
auto IsNewsOfLimit(const request_limit& known, const request_limit& listed)
    -> bool;

// Returns the mean time between two requests at `rate`. A rate below one
// request in 10 s counts as that much: only an answer shows that a limit is
// over.
auto GetRequestInterval(request_rate rate) -> duration;

// Parses a decimal number of requests a second, without sign or exponent.
// Returns std::nullopt for anything else.
auto ParseRequestRate(std::string_view text) -> std::optional<request_rate>;

// Parses the time for which a server wants no more requests: a decimal number
// of seconds, without sign or exponent. More than a year counts as a year.
// Returns no value for anything else, a date included: the clocks of VMs may
// differ.
auto ParseRetryAfter(std::string_view text) -> std::optional<duration>;

// Parses a whole number of rejections, without sign. Returns std::nullopt for
// anything else.
auto ParseRejectionCount(std::string_view text)
    -> std::optional<rejection_count>;

// Returns the value of a rate in log lines; -1 stands for no limit.
auto GetRateField(const std::optional<request_rate>& rate) -> std::int64_t;

// The same for a number of rejections.
auto GetRejectionField(const std::optional<rejection_count>& count)
    -> std::int64_t;

}  // namespace ebony

#endif  // EBONY_CORE_REQUEST_LIMIT_H_
