#include "drivers/disk_file.h"

#include <fcntl.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

#include "core/error_kind.h"

namespace ebony {

auto FailStorage(const std::string& path, const std::string& what) -> void {
  throw ebony_error(error_kind::storage_failed, path + ": " + what);
}

auto FailSystemCall(const std::string& path, const std::string& what) -> void {
  FailStorage(path, what + ": " + std::strerror(errno));
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
      FailSystemCall(path, "cannot write");
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
    FailStorage(path, "cannot read");
  }
  return bytes;
}

auto SyncFolder(const std::string& folder) -> void {
  const auto fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY);
  if (fd < 0) {
    FailSystemCall(folder, "cannot open the folder");
  }
  const auto result = ::fsync(fd);
  ::close(fd);
  if (result != 0) {
    FailSystemCall(folder, "cannot sync the folder");
  }
}

}  // namespace ebony
