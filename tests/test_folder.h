#ifndef EBONY_TESTS_TEST_FOLDER_H_
#define EBONY_TESTS_TEST_FOLDER_H_

#include <stdlib.h>

#include <filesystem>
#include <string>

namespace ebony::testing {

// A new folder that is removed with its scope.
class test_folder {
  std::string path_;

 public:
  test_folder() {
    auto name = std::string("/tmp/ebony-test-XXXXXX");
    path_ = ::mkdtemp(name.data());
  }
  ~test_folder() { std::filesystem::remove_all(path_); }
  test_folder(const test_folder&) = delete;
  auto operator=(const test_folder&) -> test_folder& = delete;

  auto get_path() const -> const std::string& { return path_; }
};

}  // namespace ebony::testing

#endif  // EBONY_TESTS_TEST_FOLDER_H_
