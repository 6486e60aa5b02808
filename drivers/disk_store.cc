#include "drivers/disk_store.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "codec/link_codec.h"
#include "drivers/disk_file.h"
#include "drivers/disk_frame.h"

namespace ebony {

namespace {

constexpr const char* kIdentityFile = "identity";
constexpr const char* kSnapshotFile = "snapshot";
constexpr const char* kLogFile = "log";

// Reads a file of one frame. Returns std::nullopt when there is no file.
auto ReadSingleFrame(const std::string& path) -> std::optional<std::string> {
  const auto bytes = ReadFile(path);
  if (!bytes) {
    return std::nullopt;
  }
  auto frame = ParseFrame(*bytes);
  if (frame.state != frame_state::complete) {
    FailStorage(path, "damaged: its checksum does not match");
  }
  return frame.payload;
}

auto EncodeFrame(const hard_state* hard, const std::vector<log_entry>& entries)
    -> std::string {
  auto message = schema::disk_frame();
  if (hard != nullptr) {
    message.set_has_hard(true);
    message.set_term(hard->term.get());
    message.set_voted_for(hard->voted_for.get());
  }
  for (const auto& entry : entries) {
    *message.add_entries() = ToSchema(entry);
  }
  return MakeFrame(message.SerializeAsString());
}

}  // namespace

disk_store::disk_store(std::string folder, disk_write write)
    : folder_(std::move(folder)), write_(std::move(write)) {}

disk_store::~disk_store() {
  if (log_fd_ >= 0) {
    ::close(log_fd_);
  }
}

auto disk_store::GetPath(const std::string& name) const -> std::string {
  return folder_ + "/" + name;
}

auto disk_store::ReplaceFile(const std::string& name, const std::string& bytes)
    -> void {
  const auto path = GetPath(name);
  const auto temporary = path + ".tmp";
  const auto fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  if (fd < 0) {
    FailSystemCall(temporary, "cannot create");
  }
  try {
    WriteAll(write_, fd, bytes, temporary);
    if (::fsync(fd) != 0) {
      FailSystemCall(temporary, "cannot sync");
    }
  } catch (...) {
    ::close(fd);
    throw;
  }
  ::close(fd);
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    FailSystemCall(path, "cannot rename");
  }
  SyncFolder(folder_);
}

auto disk_store::OpenLog() -> void {
  if (log_fd_ >= 0) {
    ::close(log_fd_);
  }
  const auto path = GetPath(kLogFile);
  log_fd_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0600);
  if (log_fd_ < 0) {
    FailSystemCall(path, "cannot open");
  }
}

auto disk_store::Create(const disk_identity& identity) -> void {
  if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST) {
    FailSystemCall(folder_, "cannot create the folder");
  }
  if (ReadFile(GetPath(kIdentityFile))) {
    FailStorage(folder_, "already holds a voter's state");
  }
  auto message = schema::disk_identity();
  message.set_node(identity.node.get());
  *message.mutable_group() = ToSchema(identity.group);
  ReplaceFile(kIdentityFile, MakeFrame(message.SerializeAsString()));
}

auto disk_store::LoadIdentity() -> std::optional<disk_identity> {
  const auto bytes = ReadSingleFrame(GetPath(kIdentityFile));
  if (!bytes) {
    return std::nullopt;
  }
  auto message = schema::disk_identity();
  if (!message.ParseFromString(*bytes)) {
    FailStorage(GetPath(kIdentityFile), "damaged");
  }
  return disk_identity{node_id(message.node()), ToDomain(message.group())};
}

auto disk_store::LoadSnapshot() -> snapshot {
  const auto path = GetPath(kSnapshotFile);
  const auto bytes = ReadSingleFrame(path);
  if (!bytes) {
    return {};
  }
  auto message = schema::snapshot();
  if (!message.ParseFromString(*bytes)) {
    FailStorage(path, "damaged");
  }
  return ToDomain(message);
}

auto disk_store::LoadLog(raft_persistent_state& state) -> void {
  const auto path = GetPath(kLogFile);
  const auto bytes = ReadFile(path).value_or("");
  auto offset = std::size_t{0};
  while (offset < bytes.size()) {
    const auto rest = std::string_view(bytes).substr(offset);
    const auto frame = ParseFrame(rest);
    // Frames become durable in order, so the bytes before a complete frame were
    // durable and cannot be the remains of an interrupted write.
    if (frame.state == frame_state::corrupt &&
        FindLaterFrame(rest) != std::string_view::npos) {
      FailStorage(path, "damaged at byte " + std::to_string(offset) +
                            ", before its end; restore this voter on an empty "
                            "folder with --join");
    }
    if (frame.state != frame_state::complete) {
      break;
    }
    auto message = schema::disk_frame();
    if (!message.ParseFromString(frame.payload)) {
      FailStorage(path, "damaged at byte " + std::to_string(offset));
    }
    if (message.has_hard()) {
      state.hard = {term_number(message.term()), node_id(message.voted_for())};
    }
    for (const auto& item : message.entries()) {
      auto entry = ToDomain(item);
      while (!state.entries.empty() &&
             state.entries.back().index >= entry.index) {
        state.entries.pop_back();
      }
      if (entry.index > state.snap.index) {
        state.entries.push_back(std::move(entry));
      }
    }
    offset += frame.bytes;
  }
  if (offset < bytes.size()) {
    if (::truncate(path.c_str(), static_cast<off_t>(offset)) != 0) {
      FailSystemCall(path, "cannot truncate the torn tail");
    }
  }
  log_bytes_ = offset;
}

auto disk_store::Load(const disk_identity& identity) -> raft_persistent_state {
  auto state = raft_persistent_state();
  state.snap = LoadSnapshot();
  if (state.snap.index == log_index()) {
    state.snap.group = identity.group;
  }
  LoadLog(state);
  auto expected = state.snap.index.get() + 1;
  for (const auto& entry : state.entries) {
    if (entry.index.get() != expected) {
      FailStorage(GetPath(kLogFile),
                  "entry " + std::to_string(expected) + " is missing");
    }
    ++expected;
  }
  hard_state_ = state.hard;
  OpenLog();
  if (::fsync(log_fd_) != 0) {
    FailSystemCall(GetPath(kLogFile), "cannot sync");
  }
  SyncFolder(folder_);
  return state;
}

// A frame appended after a partial one would be discarded by the next load.
auto disk_store::TruncateTornTail() -> void {
  if (!has_torn_tail_) {
    return;
  }
  if (::ftruncate(log_fd_, static_cast<off_t>(log_bytes_)) != 0) {
    FailSystemCall(GetPath(kLogFile), "cannot truncate a failed write");
  }
  has_torn_tail_ = false;
}

auto disk_store::Persist(const raft_ready& ready) -> void {
  if (ready.hard) {
    hard_state_ = *ready.hard;
  }
  if (ready.install) {
    Compact(*ready.install, ready.append);
    return;
  }
  if (!ready.hard && ready.append.empty()) {
    return;
  }
  TruncateTornTail();
  const auto bytes =
      EncodeFrame(ready.hard ? &hard_state_ : nullptr, ready.append);
  has_torn_tail_ = true;
  WriteAll(write_, log_fd_, bytes, GetPath(kLogFile));
  if (::fdatasync(log_fd_) != 0) {
    FailSystemCall(GetPath(kLogFile), "cannot sync");
  }
  log_bytes_ += bytes.size();
  has_torn_tail_ = false;
}

auto disk_store::Compact(const snapshot& snap,
                         const std::vector<log_entry>& suffix) -> void {
  ReplaceFile(kSnapshotFile, MakeFrame(ToSchema(snap).SerializeAsString()));
  const auto bytes = EncodeFrame(&hard_state_, suffix);
  ReplaceFile(kLogFile, bytes);
  log_bytes_ = bytes.size();
  has_torn_tail_ = false;
  OpenLog();
}

}  // namespace ebony
