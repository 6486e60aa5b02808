#ifndef EBONY_CORE_CRASH_RECORD_H_
#define EBONY_CORE_CRASH_RECORD_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/strong_type.h"

namespace ebony {

// Identifies something that several requests can hold and that may crash the
// backend servers that run them.
using suspect_key = strong_type<struct suspect_key_tag, std::uint64_t>;
// What a key stands for.
enum class suspect_kind {
  segment,  // of a prompt, which many requests can hold
  request,  // one request, which can come again
};

// Hash of a server's name and the start of its run.
using server_run = strong_type<struct server_run_tag, std::uint64_t>;
// Hash of what tells one request from another.
using request_mark = strong_type<struct request_mark_tag, std::uint64_t>;
// Hash of an organisation's name.
using organisation_mark =
    strong_type<struct organisation_mark_tag, std::uint64_t>;

// The smallest values of a set, at most `kMaxSize`. The union of two is the
// same in every order, so that copies of a set converge.
template <typename Value>
class smallest_values {
  std::vector<Value> values_;  // ascending

 public:
  static constexpr std::size_t kMaxSize = 8;

  // Returns true if the set has changed.
  auto Add(const Value& value) -> bool {
    const auto at = std::lower_bound(values_.begin(), values_.end(), value);
    const auto is_present = at != values_.end() && *at == value;
    if (is_present || (at == values_.end() && is_full())) {
      return false;
    }
    values_.insert(at, value);
    if (values_.size() > kMaxSize) {
      values_.pop_back();
    }
    return true;
  }
  auto Contains(const Value& value) const -> bool {
    return std::binary_search(values_.begin(), values_.end(), value);
  }
  auto is_full() const -> bool { return values_.size() >= kMaxSize; }
  auto get_values() const -> const std::vector<Value>& { return values_; }
};

// What is known against one key. Copies on several daemons are merged, and
// converge whatever the order in which they are.
struct crash_record {
  suspect_key key;
  suspect_kind kind = suspect_kind::segment;
  // Times that a request with the key ran without a crash after one with it had
  // crashed a server. Each time all below starts anew.
  std::uint32_t clearances = 0;
  // Crashes one after another: each of a request that was sent when the one
  // before was known, or some time after it. Servers that crash together count
  // once.
  std::uint32_t rounds = 0;
  // The same, counting only answers that had begun, but without any content:
  // few other requests are in that state when a server crashes by chance.
  std::uint32_t begun_rounds = 0;
  // That crashed; under a segment, only those that `begun_rounds` counts.
  smallest_values<server_run> runs;
  smallest_values<request_mark> requests;  // under which servers crashed
  smallest_values<organisation_mark> organisations;  // that had sent these
  // At least one of the requests had no other key that may have crashed it.
  bool is_isolated = false;
};

// Returns a key in hexadecimal, for log lines.
auto GetKeyText(suspect_key key) -> std::string;

// Merges what another daemon knows of the same key. Returns true if `record`
// has changed.
auto MergeCrashRecord(crash_record& record, const crash_record& other) -> bool;

// Returns true if requests with the key have crashed enough servers to be
// rejected from now on.
auto IsProvenCrasher(const crash_record& record) -> bool;

// Returns the rounds that came after the key had been proven, at least: fewer
// than four rounds can prove it.
auto CountRoundsAfterProof(const crash_record& record) -> std::uint32_t;

}  // namespace ebony

#endif  // EBONY_CORE_CRASH_RECORD_H_
