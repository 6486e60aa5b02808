#ifndef EBONY_CORE_ERROR_KIND_H_
#define EBONY_CORE_ERROR_KIND_H_

#include <chrono>
#include <stdexcept>
#include <string>
#include <string_view>

namespace ebony {

// All kinds of errors. `GetErrorAnswer` returns the answer for each.
enum class error_kind {
  invalid_request,
  unauthenticated,
  forbidden,
  not_found,
  unknown_model,
  payload_too_large,
  revision_conflict,
  duplicate_in_progress,
  rate_limited,
  overloaded,
  deadline_unreachable,
  deadline_exceeded,
  not_current,
  draining,
  no_backend,
  backend_unreachable,
  backend_failed,
  stream_cut,
  stream_origin_unknown,
  stream_version_gone,
  trial_pending,
  crashes_servers,
  claim_unavailable,
  not_leader,
  not_in_force,
  storage_failed,
  internal,
};

constexpr int kErrorKindCount = static_cast<int>(error_kind::internal) + 1;

// Whether a backend server executed the failed request.
enum class ran_state { no, yes, unknown };

// The answer that a caller receives for an error kind.
struct error_answer {
  error_kind kind;
  std::string_view code;             // stable machine-readable name
  int http_status;                   // HTTP status code
  ran_state default_ran;             // used when the error does not state it
  std::chrono::seconds retry_after;  // 0: retrying does not help
};

// Returns the answer for `kind`.
auto GetErrorAnswer(error_kind kind) -> const error_answer&;

// Returns "no", "yes" or "unknown".
auto GetRanText(ran_state ran) -> std::string_view;

// Exception for errors of all kinds.
class ebony_error : public std::runtime_error {
  error_kind kind_;
  ran_state ran_;

 public:
  ebony_error(error_kind kind, const std::string& message);
  ebony_error(error_kind kind, ran_state ran, const std::string& message);

  auto get_kind() const -> error_kind { return kind_; }
  auto get_ran() const -> ran_state { return ran_; }
};

}  // namespace ebony

#endif  // EBONY_CORE_ERROR_KIND_H_
