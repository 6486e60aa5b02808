#ifndef EBONY_TESTS_TEST_FOLDER_H_
#define EBONY_TESTS_TEST_FOLDER_H_

#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <string>

namespace ebony::testing {

// A new folder that is removed with its scope. It is in memory where the
// machine has a file system there, so that syncs don't wait for its disk.
class test_folder {
  std::string path_;

  static auto GetParent() -> std::string {
    constexpr auto* kMemoryFolder = "/dev/shm";
    return ::access(kMemoryFolder, W_OK) == 0 ? kMemoryFolder : "/tmp";
  }

 public:
  test_folder() {
    auto name = GetParent() + "/ebony-test-XXXXXX";
    path_ = ::mkdtemp(name.data());
  }
  ~test_folder() { std::filesystem::remove_all(path_); }
  test_folder(const test_folder&) = delete;
  auto operator=(const test_folder&) -> test_folder& = delete;

  auto get_path() const -> const std::string& { return path_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_TEST_FOLDER_H_
