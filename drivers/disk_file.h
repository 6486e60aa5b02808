#ifndef EBONY_DRIVERS_DISK_FILE_H_
#define EBONY_DRIVERS_DISK_FILE_H_

#include <unistd.h>

#include <functional>
#include <optional>
#include <string>

namespace ebony {

// Writes bytes to a descriptor, with the contract of write(2).
using disk_write = std::function<ssize_t(int, const void*, std::size_t)>;

// Throws ebony_error of kind storage_failed, with the path in the message.
[[noreturn]] auto FailStorage(const std::string& path, const std::string& what)
    -> void;
// The same, with the reason that errno gives.
[[noreturn]] auto FailSystemCall(const std::string& path,
                                 const std::string& what) -> void;

// Writes all of `bytes`. `path` names the file in errors.
auto WriteAll(const disk_write& write,
              int fd,
              const std::string& bytes,
              const std::string& path) -> void;
// Returns the content of a file, or std::nullopt when there is none.
auto ReadFile(const std::string& path) -> std::optional<std::string>;
// Makes the names of files in a folder durable.
auto SyncFolder(const std::string& folder) -> void;

}  // namespace ebony

#endif  // EBONY_DRIVERS_DISK_FILE_H_
