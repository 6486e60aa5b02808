#ifndef EBONY_DRIVERS_FACT_JOURNAL_H_
#define EBONY_DRIVERS_FACT_JOURNAL_H_

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "drivers/disk_file.h"
#include "drivers/worker_thread.h"

namespace ebony {

// What a journal found on the disk.
struct journal_contents {
  // Of all complete frames, in no order that the owner may rely on.
  std::vector<std::string> payloads;
  std::uint64_t damaged_bytes = 0;  // left out
};

// Two files in one folder, used in turn, that hold records which may be lost
// one by one but should survive the end of all processes. A thread of its own
// writes and syncs, so that a slow disk delays nobody but the journal. Whatever
// is damaged is left out by the next start; the rest holds.
//
// `Rotate` starts the file that is not in use anew. The owner rotates when
// everything in that file is out of date, and begins the new one with all that
// still counts of the others.
class fact_journal {
 public:
  struct options {
    std::string folder;  // must exist
    // Bytes of one file, and of what waits to be written, beyond which nothing
    // is accepted.
    std::uint64_t max_file_bytes = std::uint64_t{16} * 1024 * 1024;
    std::uint64_t max_queued_bytes = std::uint64_t{1} * 1024 * 1024;
    disk_write write = ::write;
  };

 private:
  struct job {
    std::string payload;
    bool rotates = false;
  };

  static constexpr std::size_t kFiles = 2;

  options options_;
  // The file in use, and how often files were begun before it. Only the writer
  // changes them.
  std::size_t current_ = 0;
  std::uint64_t generation_ = 0;
  bool is_thread_started_ = false;
  worker_thread writer_;

  // All below is guarded by `mutex_`.
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<job> jobs_;
  std::uint64_t queued_bytes_ = 0;   // of `jobs_` and of the job under way
  std::uint64_t current_bytes_ = 0;  // of the file in use, once all is written
  bool is_stopping_ = false;
  std::optional<std::string> failure_;

  auto GetPath(std::size_t file) const -> std::string;
  auto ReadFrames(std::size_t file, journal_contents& contents)
      -> std::uint64_t;
  auto TakeFrame(std::size_t file,
                 std::string payload,
                 journal_contents& contents) -> void;
  auto StartWriter() -> bool;
  auto Enqueue(const std::string& payload, bool rotates) -> bool;
  auto RunWriter() -> void;
  auto WriteJob(const job& item) -> void;

 public:
  explicit fact_journal(options terms);
  // Writes what waits, then ends the thread.
  ~fact_journal();
  fact_journal(const fact_journal&) = delete;
  auto operator=(const fact_journal&) -> fact_journal& = delete;

  // Reads both files, and goes on with the one that was written last. To be
  // called once, before anything is written. Throws ebony_error of kind
  // storage_failed when a file cannot be read.
  auto Load() -> journal_contents;
  // Queues a payload for the file in use. Returns false, and drops it, if there
  // is no room.
  auto Append(const std::string& payload) -> bool;
  // Queues a payload that begins the other file anew.
  auto Rotate(const std::string& payload) -> bool;
  // Returns why the latest write failed, once. What was queued then may be
  // lost, so the owner should write all that counts again, by `Rotate`.
  auto TakeFailure() -> std::optional<std::string>;
  // Blocks until nothing waits to be written.
  auto Flush() -> void;
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_FACT_JOURNAL_H_
