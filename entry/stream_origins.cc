#include "entry/stream_origins.h"

#include <utility>

namespace ebony {

auto stream_origins::OnBegun(stream_key key,
                             const stream_origin& origin,
                             mono_time now) -> bool {
  if (table_.Find(key) != nullptr) {
    return true;
  }
  OnTold(key, origin, now);
  if (unreported_count_ >= kMaxUnreported) {
    return false;
  }
  unreported_[origin].push_back(key);
  ++unreported_count_;
  return true;
}

auto stream_origins::OnTold(stream_key key,
                            const stream_origin& origin,
                            mono_time now) -> void {
  table_.Add(key, origin, now);
  const auto asked = questions_.find(key);
  if (asked == questions_.end()) {
    return;
  }
  const auto callbacks = std::move(asked->second.callbacks);
  questions_.erase(asked);
  for (const auto& callback : callbacks) {
    callback(origin);
  }
}

auto stream_origins::Find(stream_key key) const
    -> std::optional<stream_origin> {
  const auto* origin = table_.Find(key);
  return origin == nullptr ? std::nullopt : std::optional(*origin);
}

auto stream_origins::Ask(stream_key key, found_callback on_found, mono_time now)
    -> void {
  auto& asked = questions_[key];
  asked.callbacks.push_back(std::move(on_found));
  asked.expires_at = now + kQuestionTimeout;
}

auto stream_origins::TakeReport(mono_time now) -> stream_report {
  std::erase_if(questions_, [now](const auto& item) {
    return item.second.expires_at <= now;
  });
  // What the previous report told is told again if it was not answered.
  for (auto& [origin, keys] : unreported_) {
    auto& all = reported_[origin];
    all.insert(all.end(), keys.begin(), keys.end());
  }
  unreported_.clear();
  auto report = stream_report();
  report.begun = reported_;
  for (const auto& [key, asked] : questions_) {
    report.questions.push_back(key);
  }
  return report;
}

auto stream_origins::OnReportAnswered(bool is_new_source) -> void {
  reported_.clear();
  if (is_new_source) {
    unreported_ = table_.List();
  }
  unreported_count_ = 0;
  for (const auto& [origin, keys] : unreported_) {
    unreported_count_ += keys.size();
  }
}

}  // namespace ebony
