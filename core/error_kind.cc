#include "core/error_kind.h"

#include <array>

namespace ebony {

namespace {

using std::chrono::seconds;

constexpr std::array<error_answer, kErrorKindCount> kAnswers = {{
    {error_kind::invalid_request, "invalid_request", 400, ran_state::no,
     seconds(0)},
    {error_kind::unauthenticated, "unauthenticated", 401, ran_state::no,
     seconds(0)},
    {error_kind::forbidden, "forbidden", 403, ran_state::no, seconds(0)},
    {error_kind::not_found, "not_found", 404, ran_state::no, seconds(0)},
    {error_kind::unknown_model, "unknown_model", 404, ran_state::no,
     seconds(0)},
    {error_kind::payload_too_large, "payload_too_large", 413, ran_state::no,
     seconds(0)},
    {error_kind::revision_conflict, "revision_conflict", 409, ran_state::no,
     seconds(0)},
    {error_kind::duplicate_in_progress, "duplicate_in_progress", 409,
     ran_state::unknown, seconds(1)},
    {error_kind::rate_limited, "rate_limited", 429, ran_state::no, seconds(1)},
    {error_kind::overloaded, "overloaded", 503, ran_state::no, seconds(1)},
    {error_kind::deadline_unreachable, "deadline_unreachable", 503,
     ran_state::no, seconds(1)},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504,
     ran_state::unknown, seconds(1)},
    {error_kind::not_current, "not_current", 503, ran_state::no, seconds(1)},
    {error_kind::draining, "draining", 503, ran_state::no, seconds(1)},
    {error_kind::no_backend, "no_backend", 503, ran_state::no, seconds(1)},
    {error_kind::backend_unreachable, "backend_unreachable", 502, ran_state::no,
     seconds(1)},
    {error_kind::backend_failed, "backend_failed", 502, ran_state::unknown,
     seconds(1)},
    {error_kind::stream_cut, "stream_cut", 502, ran_state::yes, seconds(1)},
    {error_kind::stream_origin_unknown, "stream_origin_unknown", 503,
     ran_state::no, seconds(1)},
    {error_kind::stream_version_gone, "stream_version_gone", 503, ran_state::no,
     seconds(1)},
    {error_kind::trial_pending, "trial_pending", 503, ran_state::no,
     seconds(1)},
    {error_kind::crashes_servers, "crashes_servers", 503, ran_state::no,
     seconds(60)},
    {error_kind::claim_unavailable, "claim_unavailable", 503, ran_state::no,
     seconds(1)},
    {error_kind::not_leader, "not_leader", 503, ran_state::no, seconds(1)},
    {error_kind::not_in_force, "not_in_force", 202, ran_state::unknown,
     seconds(1)},
    {error_kind::storage_failed, "storage_failed", 500, ran_state::unknown,
     seconds(5)},
    {error_kind::internal, "internal", 500, ran_state::unknown, seconds(5)},
}};

}  // namespace

auto GetErrorAnswer(error_kind kind) -> const error_answer& {
  return kAnswers.at(static_cast<std::size_t>(kind));
}

auto GetRanText(ran_state ran) -> std::string_view {
  switch (ran) {
    case ran_state::no:
      return "no";
    case ran_state::yes:
      return "yes";
    case ran_state::unknown:
      break;
  }
  return "unknown";
}

ebony_error::ebony_error(error_kind kind, const std::string& message)
    : ebony_error(kind, GetErrorAnswer(kind).default_ran, message) {}

ebony_error::ebony_error(error_kind kind,
                         ran_state ran,
                         const std::string& message)
    : std::runtime_error(message), kind_(kind), ran_(ran) {}

}  // namespace ebony
