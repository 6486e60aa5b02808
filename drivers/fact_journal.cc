#include "drivers/fact_journal.h"

#include <fcntl.h>

#include <array>
#include <string_view>
#include <utility>

#include "core/error_kind.h"
#include "drivers/disk_frame.h"

namespace ebony {

namespace {

constexpr std::array<const char*, 2> kFileNames = {"facts.0", "facts.1"};

// A descriptor that is closed with its scope.
class scoped_descriptor {
  int fd_;

 public:
  explicit scoped_descriptor(int fd) : fd_(fd) {}
  ~scoped_descriptor() {
    if (fd_ >= 0) {
      ::close(fd_);
    }
  }
  scoped_descriptor(const scoped_descriptor&) = delete;
  auto operator=(const scoped_descriptor&) -> scoped_descriptor& = delete;

  auto get() const -> int { return fd_; }
};

// A frame begins with the generation of its file, lowest byte first.
constexpr std::size_t kGenerationBytes = 8;
constexpr unsigned kBitsPerByte = 8;

auto EncodeGeneration(std::uint64_t generation) -> std::string {
  auto bytes = std::string();
  for (auto i = std::size_t{0}; i < kGenerationBytes; ++i) {
    bytes.push_back(
        static_cast<char>(generation >> (i * kBitsPerByte) & 0xffU));
  }
  return bytes;
}

auto DecodeGeneration(std::string_view bytes) -> std::uint64_t {
  auto generation = std::uint64_t{0};
  for (auto i = std::size_t{0}; i < kGenerationBytes; ++i) {
    const auto byte = static_cast<unsigned char>(bytes[i]);
    generation |= std::uint64_t{byte} << (i * kBitsPerByte);
  }
  return generation;
}

}  // namespace

fact_journal::fact_journal(options terms)
    : options_(std::move(terms)), writer_([this] { RunWriter(); }) {}

fact_journal::~fact_journal() {
  {
    const auto lock = std::lock_guard(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  if (is_thread_started_) {
    writer_.Join();
  }
}

auto fact_journal::GetPath(std::size_t file) const -> std::string {
  return options_.folder + "/" + kFileNames.at(file);
}

auto fact_journal::TakeFrame(std::size_t file,
                             std::string payload,
                             journal_contents& contents) -> void {
  if (payload.size() < kGenerationBytes) {
    contents.damaged_bytes += payload.size();
    return;
  }
  const auto generation = DecodeGeneration(payload);
  if (generation >= generation_) {
    generation_ = generation;
    current_ = file;
  }
  contents.payloads.push_back(payload.substr(kGenerationBytes));
}

// Returns the size of the file.
auto fact_journal::ReadFrames(std::size_t file, journal_contents& contents)
    -> std::uint64_t {
  const auto bytes = ReadFile(GetPath(file)).value_or("");
  auto rest = std::string_view(bytes);
  while (!rest.empty()) {
    auto frame = ParseFrame(rest);
    if (frame.state == frame_state::complete) {
      TakeFrame(file, std::move(frame.payload), contents);
      rest.remove_prefix(frame.bytes);
      continue;
    }
    const auto next = FindLaterFrame(rest);
    const auto skipped = next == std::string_view::npos ? rest.size() : next;
    contents.damaged_bytes += skipped;
    rest.remove_prefix(skipped);
  }
  return bytes.size();
}

auto fact_journal::Load() -> journal_contents {
  auto contents = journal_contents();
  auto sizes = std::array<std::uint64_t, kFiles>();
  for (auto file = std::size_t{0}; file < kFiles; ++file) {
    sizes.at(file) = ReadFrames(file, contents);
  }
  const auto lock = std::lock_guard(mutex_);
  current_bytes_ = sizes.at(current_);
  return contents;
}

// The thread starts with the first write: most runs write nothing.
auto fact_journal::StartWriter() -> bool {
  if (is_thread_started_) {
    return true;
  }
  try {
    writer_.Start();
    is_thread_started_ = true;
  } catch (const ebony_error& error) {
    const auto lock = std::lock_guard(mutex_);
    failure_ = error.what();
  }
  return is_thread_started_;
}

auto fact_journal::Enqueue(const std::string& payload, bool rotates) -> bool {
  if (!StartWriter()) {
    return false;
  }
  {
    const auto lock = std::lock_guard(mutex_);
    const auto file_bytes = payload.size() + (rotates ? 0 : current_bytes_);
    if (queued_bytes_ + payload.size() > options_.max_queued_bytes ||
        file_bytes > options_.max_file_bytes) {
      return false;
    }
    current_bytes_ = file_bytes;
    queued_bytes_ += payload.size();
    jobs_.push_back({payload, rotates});
  }
  changed_.notify_all();
  return true;
}

auto fact_journal::Append(const std::string& payload) -> bool {
  return Enqueue(payload, false);
}

auto fact_journal::Rotate(const std::string& payload) -> bool {
  return Enqueue(payload, true);
}

auto fact_journal::WriteJob(const job& item) -> void {
  const auto file = item.rotates ? (current_ + 1) % kFiles : current_;
  const auto generation = item.rotates ? generation_ + 1 : generation_;
  const auto path = GetPath(file);
  const auto has_file = ::access(path.c_str(), F_OK) == 0;
  const auto mode = item.rotates ? O_TRUNC : O_APPEND;
  const auto fd =
      scoped_descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | mode, 0600));
  if (fd.get() < 0) {
    FailSystemCall(path, "cannot open");
  }
  const auto frame = MakeFrame(EncodeGeneration(generation) + item.payload);
  WriteAll(options_.write, fd.get(), frame, path);
  if (::fsync(fd.get()) != 0) {
    FailSystemCall(path, "cannot sync");
  }
  if (!has_file) {
    SyncFolder(options_.folder);
  }
  current_ = file;
  generation_ = generation;
}

auto fact_journal::RunWriter() -> void {
  auto lock = std::unique_lock(mutex_);
  for (;;) {
    changed_.wait(lock, [this] { return is_stopping_ || !jobs_.empty(); });
    if (jobs_.empty()) {
      return;
    }
    const auto item = std::move(jobs_.front());
    jobs_.pop_front();
    lock.unlock();
    auto failure = std::optional<std::string>();
    try {
      WriteJob(item);
    } catch (const ebony_error& error) {
      failure = error.what();
    }
    lock.lock();
    queued_bytes_ -= item.payload.size();
    if (failure) {
      failure_ = std::move(failure);
    }
    changed_.notify_all();
  }
}

auto fact_journal::TakeFailure() -> std::optional<std::string> {
  const auto lock = std::lock_guard(mutex_);
  return std::exchange(failure_, std::nullopt);
}

auto fact_journal::Flush() -> void {
  auto lock = std::unique_lock(mutex_);
  changed_.wait(lock, [this] { return queued_bytes_ == 0; });
}

}  // namespace ebony
