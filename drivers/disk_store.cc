#include "drivers/disk_store.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

#include "codec/link_codec.h"
#include "core/error_kind.h"
#include "core/hashing.h"

namespace ebony {

namespace {

constexpr const char* kIdentityFile = "identity";
constexpr const char* kSnapshotFile = "snapshot";
constexpr const char* kLogFile = "log";
constexpr std::uint32_t kFrameMagic = 0x65626c67;
constexpr std::size_t kMaxFrameBytes = 1U << 30;

// Header of a frame. `header_hash` covers the fields before it.
struct frame_header {
  std::uint32_t magic = kFrameMagic;
  std::uint32_t size = 0;  // bytes of the payload
  std::uint64_t payload_hash = 0;
  std::uint64_t header_hash = 0;
};

enum class frame_state { complete, torn, corrupt };

struct parsed_frame {
  frame_state state = frame_state::complete;
  std::string payload;
  std::size_t bytes = 0;  // header and payload
};

auto HashHeader(const frame_header& header) -> std::uint64_t {
  return HashBytes(std::string_view(reinterpret_cast<const char*>(&header),
                                    offsetof(frame_header, header_hash)));
}

auto MakeFrame(const std::string& payload) -> std::string {
  auto header = frame_header();
  header.size = static_cast<std::uint32_t>(payload.size());
  header.payload_hash = HashBytes(payload);
  header.header_hash = HashHeader(header);
  return std::string(reinterpret_cast<const char*>(&header), sizeof(header)) +
         payload;
}

auto IsAllZero(std::string_view bytes) -> bool {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](char c) { return c == '\0'; });
}

// Parses the frame at the start of `rest`. A crash can leave the last frame
// short, or parts of its space unwritten; such a frame is torn.
auto ParseFrame(std::string_view rest) -> parsed_frame {
  auto frame = parsed_frame();
  if (rest.size() < sizeof(frame_header) || IsAllZero(rest)) {
    frame.state = frame_state::torn;
    return frame;
  }
  auto header = frame_header();
  std::memcpy(&header, rest.data(), sizeof(header));
  if (header.magic != kFrameMagic || header.header_hash != HashHeader(header) ||
      header.size > kMaxFrameBytes) {
    frame.state = frame_state::corrupt;
    return frame;
  }
  const auto total = sizeof(header) + header.size;
  if (rest.size() < total) {
    frame.state = frame_state::torn;
    return frame;
  }
  frame.payload = std::string(rest.substr(sizeof(header), header.size));
  frame.bytes = total;
  if (HashBytes(frame.payload) != header.payload_hash) {
    frame.state =
        rest.size() == total ? frame_state::torn : frame_state::corrupt;
  }
  return frame;
}

// True when a complete frame follows the start of `rest`. Frames become durable
// in order, so the bytes before a complete frame were durable and cannot be the
// remains of an interrupted write.
auto HasLaterFrame(std::string_view rest) -> bool {
  const auto magic = kFrameMagic;
  const auto magic_bytes =
      std::string_view(reinterpret_cast<const char*>(&magic), sizeof(magic));
  for (auto at = rest.find(magic_bytes, 1); at != std::string_view::npos;
       at = rest.find(magic_bytes, at + 1)) {
    if (ParseFrame(rest.substr(at)).state == frame_state::complete) {
      return true;
    }
  }
  return false;
}

[[noreturn]] auto Fail(const std::string& path, const std::string& what)
    -> void {
  throw ebony_error(error_kind::storage_failed, path + ": " + what);
}

[[noreturn]] auto FailErrno(const std::string& path, const std::string& what)
    -> void {
  Fail(path, what + ": " + std::strerror(errno));
}

auto WriteAll(const disk_write& write,
              int fd,
              const std::string& bytes,
              const std::string& path) -> void {
  auto written = std::size_t{0};
  while (written < bytes.size()) {
    const auto count =
        write(fd, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) {
      continue;
    }
    if (count < 0) {
      FailErrno(path, "cannot write");
    }
    written += static_cast<std::size_t>(count);
  }
}

auto ReadFile(const std::string& path) -> std::optional<std::string> {
  auto in = std::ifstream(path, std::ios::binary);
  if (!in) {
    return std::nullopt;
  }
  auto bytes = std::string(std::istreambuf_iterator<char>(in),
                           std::istreambuf_iterator<char>());
  if (in.bad()) {
    Fail(path, "cannot read");
  }
  return bytes;
}

// Reads a file of one frame. Returns std::nullopt when there is no file.
auto ReadSingleFrame(const std::string& path) -> std::optional<std::string> {
  const auto bytes = ReadFile(path);
  if (!bytes) {
    return std::nullopt;
  }
  auto frame = ParseFrame(*bytes);
  if (frame.state != frame_state::complete) {
    Fail(path, "damaged: its checksum does not match");
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

auto disk_store::SyncFolder() -> void {
  const auto fd = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY);
  if (fd < 0) {
    FailErrno(folder_, "cannot open the folder");
  }
  const auto result = ::fsync(fd);
  ::close(fd);
  if (result != 0) {
    FailErrno(folder_, "cannot sync the folder");
  }
}

auto disk_store::ReplaceFile(const std::string& name, const std::string& bytes)
    -> void {
  const auto path = GetPath(name);
  const auto temporary = path + ".tmp";
  const auto fd = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
  if (fd < 0) {
    FailErrno(temporary, "cannot create");
  }
  try {
    WriteAll(write_, fd, bytes, temporary);
    if (::fsync(fd) != 0) {
      FailErrno(temporary, "cannot sync");
    }
  } catch (...) {
    ::close(fd);
    throw;
  }
  ::close(fd);
  if (::rename(temporary.c_str(), path.c_str()) != 0) {
    FailErrno(path, "cannot rename");
  }
  SyncFolder();
}

auto disk_store::OpenLog() -> void {
  if (log_fd_ >= 0) {
    ::close(log_fd_);
  }
  const auto path = GetPath(kLogFile);
  log_fd_ = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT, 0600);
  if (log_fd_ < 0) {
    FailErrno(path, "cannot open");
  }
}

auto disk_store::Create(const disk_identity& identity) -> void {
  if (::mkdir(folder_.c_str(), 0700) != 0 && errno != EEXIST) {
    FailErrno(folder_, "cannot create the folder");
  }
  if (ReadFile(GetPath(kIdentityFile))) {
    Fail(folder_, "already holds a voter's state");
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
    Fail(GetPath(kIdentityFile), "damaged");
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
    Fail(path, "damaged");
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
    if (frame.state == frame_state::corrupt && HasLaterFrame(rest)) {
      Fail(path, "damaged at byte " + std::to_string(offset) +
                     ", before its end; restore this voter on an empty "
                     "folder with --join");
    }
    if (frame.state != frame_state::complete) {
      break;
    }
    auto message = schema::disk_frame();
    if (!message.ParseFromString(frame.payload)) {
      Fail(path, "damaged at byte " + std::to_string(offset));
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
      FailErrno(path, "cannot truncate the torn tail");
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
      Fail(GetPath(kLogFile),
           "entry " + std::to_string(expected) + " is missing");
    }
    ++expected;
  }
  hard_state_ = state.hard;
  OpenLog();
  if (::fsync(log_fd_) != 0) {
    FailErrno(GetPath(kLogFile), "cannot sync");
  }
  SyncFolder();
  return state;
}

// A frame appended after a partial one would be discarded by the next load.
auto disk_store::TruncateTornTail() -> void {
  if (!has_torn_tail_) {
    return;
  }
  if (::ftruncate(log_fd_, static_cast<off_t>(log_bytes_)) != 0) {
    FailErrno(GetPath(kLogFile), "cannot truncate a failed write");
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
    FailErrno(GetPath(kLogFile), "cannot sync");
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
