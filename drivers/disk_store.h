#ifndef EBONY_DRIVERS_DISK_STORE_H_
#define EBONY_DRIVERS_DISK_STORE_H_

#include <optional>
#include <string>

#include "consensus/raft_types.h"
#include "drivers/disk_file.h"

namespace ebony {

// Identity of a voter, as stored in its data folder.
struct disk_identity {
  node_id node;
  membership group;  // initial members; empty for a node that joins later
};

// The durable state of one control voter in one data folder:
//   identity  written once
//   snapshot  replaced by rename
//   log       appended to, one frame per sync; replaced by rename
// Every frame carries a checksum. Loading truncates a torn last frame, and
// fails on corruption that a complete frame follows. After a failed write the
// same frame can be written again. All failures throw ebony_error of kind
// storage_failed, with the path in the message.
class disk_store {
  std::string folder_;
  disk_write write_;
  int log_fd_ = -1;
  std::uint64_t log_bytes_ = 0;  // size of the complete frames
  bool has_torn_tail_ = false;   // a partial frame may follow them
  hard_state hard_state_;

  auto GetPath(const std::string& name) const -> std::string;
  auto ReplaceFile(const std::string& name, const std::string& bytes) -> void;
  auto OpenLog() -> void;
  auto TruncateTornTail() -> void;
  auto LoadSnapshot() -> snapshot;
  auto LoadLog(raft_persistent_state& state) -> void;

 public:
  explicit disk_store(std::string folder, disk_write write = ::write);
  ~disk_store();
  disk_store(const disk_store&) = delete;
  auto operator=(const disk_store&) -> disk_store& = delete;

  // Creates the folder and stores the identity. Fails when the folder already
  // has one.
  auto Create(const disk_identity& identity) -> void;
  // Returns std::nullopt when the folder has no identity.
  auto LoadIdentity() -> std::optional<disk_identity>;
  // Reads the snapshot and the log, and opens the log for appending.
  auto Load(const disk_identity& identity) -> raft_persistent_state;

  // Writes the output of Raft. All of it is durable on return.
  auto Persist(const raft_ready& ready) -> void;
  // Replaces the log prefix that `snap` covers; `suffix` is the log after it.
  auto Compact(const snapshot& snap, const std::vector<log_entry>& suffix)
      -> void;

  auto get_log_bytes() const -> std::uint64_t { return log_bytes_; }
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_DISK_STORE_H_
