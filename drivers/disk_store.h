#ifndef EBONY_DRIVERS_DISK_STORE_H_
#define EBONY_DRIVERS_DISK_STORE_H_

#include <unistd.h>

#include <functional>
#include <optional>
#include <string>

#include "consensus/raft_types.h"

namespace ebony {

// What the data folder says of this voter.
struct disk_identity {
  node_id node;
  membership group;  // first group; empty for a joiner
};

// Writes bytes to a descriptor, as write(2).
using disk_write = std::function<ssize_t(int, const void*, std::size_t)>;

// The durable state of one control voter in one data folder:
//   identity  written once
//   snapshot  replaced by rename
//   log       appended, one frame for each sync; replaced by rename
// Every frame carries a checksum. A torn last frame is cut at the start; damage
// with a whole frame behind it stops the start. After a write that failed the
// same frame can be written again. All failures throw ebony_error of kind
// storage_failed and name the file.
class disk_store {
  std::string folder_;
  disk_write write_;
  int log_fd_ = -1;
  std::uint64_t log_bytes_ = 0;  // of whole frames
  bool has_torn_end_ = false;    // a frame may lie behind them in part
  hard_state hard_;

  auto GetPath(const std::string& name) const -> std::string;
  auto ReplaceFile(const std::string& name, const std::string& bytes) -> void;
  auto SyncFolder() -> void;
  auto OpenLog() -> void;
  auto CutTornEnd() -> void;
  auto LoadSnapshot() -> snapshot;
  auto LoadLog(raft_persistent_state& image) -> void;

 public:
  explicit disk_store(std::string folder, disk_write write = ::write);
  ~disk_store();
  disk_store(const disk_store&) = delete;
  auto operator=(const disk_store&) -> disk_store& = delete;

  // Creates the folder's identity. Fails when there already is one.
  auto Create(const disk_identity& identity) -> void;
  auto LoadIdentity() -> std::optional<disk_identity>;
  // Reads what survived and opens the log for appending.
  auto Load(const disk_identity& identity) -> raft_persistent_state;

  // Makes everything in `ready` durable before it returns.
  auto Persist(const raft_ready& ready) -> void;
  // Replaces the log prefix by `snap`; `rest` is the log after it.
  auto Compact(const snapshot& snap, const std::vector<log_entry>& rest)
      -> void;

  auto get_log_bytes() const -> std::uint64_t { return log_bytes_; }
};

}  // namespace ebony

#endif  // EBONY_DRIVERS_DISK_STORE_H_
