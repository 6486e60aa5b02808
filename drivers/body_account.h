#ifndef EBONY_DRIVERS_BODY_ACCOUNT_H_
#define EBONY_DRIVERS_BODY_ACCOUNT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/ids.h"

namespace ebony {

using body_id = strong_type<struct body_tag, std::uint64_t>;

struct body_account_options {
  // Of all bodies, those that are received and those of requests in progress.
  std::uint64_t max_bytes = 0;
  // Bodies that are being received at the same time.
  std::size_t max_receiving = 0;
};

// Decides which request bodies a process may hold. Thread-compatible.
class body_account {
  struct entry {
    std::uint64_t charged_bytes = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t noted_bytes = 0;  // received at `progress_at`
    mono_time progress_at;
    bool is_receiving = true;
  };

  body_account_options options_;
  std::uint64_t next_id_ = 1;
  std::uint64_t charged_bytes_ = 0;
  std::size_t receiving_ = 0;
  std::map<body_id, entry> bodies_;

  // Returns the body that has made no progress for the longest time, if that is
  // longer than `kStallTime`.
  auto FindStalled(body_id except, mono_time now) const
      -> std::optional<body_id>;
  // Returns what a body that is charged with `bytes` may find in use.
  auto GetLimit(std::uint64_t bytes) const -> std::uint64_t;

 public:
  // A body that receives fewer bytes in this time makes no progress.
  static constexpr duration kStallTime = std::chrono::seconds(1);
  static constexpr std::uint64_t kProgressBytes = 4096;
  // Small bodies have a part of the memory, an eighth, that large ones cannot
  // take.
  static constexpr std::uint64_t kSmallBytes = std::uint64_t{64} * 1024;
  static constexpr std::uint64_t kReservedParts = 8;

  // What the caller has to do. It frees the evicted bodies, which are no longer
  // charged, and tells their callers that they have not run.
  struct decision {
    bool is_granted = false;
    std::vector<body_id> evicted;
  };

  explicit body_account(body_account_options options);

  // Returns the id of a body that begins.
  auto Begin(mono_time now) -> body_id;
  // Charges a body with `bytes` in all. A refused body keeps its earlier charge
  // until its release.
  auto Charge(body_id id, std::uint64_t bytes, mono_time now) -> decision;
  // Records that bytes of a body have arrived.
  auto OnReceived(body_id id, std::uint64_t bytes, mono_time now) -> void;
  // Records that a body is whole. It is charged until its release.
  auto OnWhole(body_id id) -> void;
  // Ends the charge of a body. Unknown ids are ignored.
  auto Release(body_id id) -> void;

  auto get_charged_bytes() const -> std::uint64_t { return charged_bytes_; }
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_BODY_ACCOUNT_H_
