#ifndef EBONY_DRIVERS_DISK_FRAME_H_
#define EBONY_DRIVERS_DISK_FRAME_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace ebony {

// A payload on the disk with a header that holds its length and checksums.
enum class frame_state { complete, torn, corrupt };

struct parsed_frame {
  frame_state state = frame_state::complete;
  std::string payload;
  std::size_t bytes = 0;  // header and payload
};

auto MakeFrame(const std::string& payload) -> std::string;
// Parses the frame at the start of `rest`. A crash can leave the last frame
// short, or parts of its space unwritten; such a frame is torn.
auto ParseFrame(std::string_view rest) -> parsed_frame;
// Returns the offset of the first complete frame after the start of `rest`, or
// std::string_view::npos when there is none.
auto FindLaterFrame(std::string_view rest) -> std::size_t;

}  // namespace ebony

#endif  // EBONY_DRIVERS_DISK_FRAME_H_
