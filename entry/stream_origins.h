#ifndef EBONY_ENTRY_STREAM_ORIGINS_H_
#define EBONY_ENTRY_STREAM_ORIGINS_H_

#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "core/stream_origin.h"
#include "core/stream_origin_table.h"

namespace ebony {

// What a daemon tells the next one up of the streams that began, and the
// streams whose origin it asks for.
struct stream_report {
  std::map<stream_origin, std::vector<stream_key>> begun;
  std::vector<stream_key> questions;
};

// The origins of streams as known to one daemon: those that began here or at
// the daemons that it serves, and those that it was told. What began is
// reported until a report was answered, so that another gateway can go on with
// the stream when this one is gone. Used by gateways, relays and the leader.
class stream_origins {
 public:
  using found_callback = std::function<void(const stream_origin&)>;

 private:
  struct question {
    std::vector<found_callback> callbacks;
    mono_time expires_at;
  };

  stream_origin_table table_;
  std::map<stream_origin, std::vector<stream_key>> unreported_;
  std::map<stream_origin, std::vector<stream_key>> reported_;  // not answered
  std::size_t unreported_count_ = 0;
  std::map<stream_key, question> questions_;

 public:
  // An origin that nobody has told by then is not known anywhere.
  static constexpr duration kQuestionTimeout = std::chrono::milliseconds(600);
  // Streams that can wait for a report. Further ones are not reported.
  static constexpr std::size_t kMaxUnreported = 100000;

  // A stream began. Returns false if it can't be reported.
  auto OnBegun(stream_key key, const stream_origin& origin, mono_time now)
      -> bool;
  // Takes an origin that others know.
  auto OnTold(stream_key key, const stream_origin& origin, mono_time now)
      -> void;
  auto Find(stream_key key) const -> std::optional<stream_origin>;
  // Asks for the origin of a stream. `on_found` is called when it is told; it
  // is dropped after `kQuestionTimeout`.
  auto Ask(stream_key key, found_callback on_found, mono_time now) -> void;

  // Returns the next report.
  auto TakeReport(mono_time now) -> stream_report;
  // The latest report was answered. `is_new_source` tells that it was the first
  // one to this leader or relay, which has to be told everything.
  auto OnReportAnswered(bool is_new_source) -> void;

  auto HasQuestions() const -> bool { return !questions_.empty(); }
  auto get_size() const -> std::size_t { return table_.get_size(); }
  auto get_table() const -> const stream_origin_table& { return table_; }
};

}  // namespace ebony

#endif  // EBONY_ENTRY_STREAM_ORIGINS_H_
