#include "drivers/disk_frame.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>

#include "core/hashing.h"

namespace ebony {

namespace {

constexpr std::uint32_t kFrameMagic = 0x65626c67;
constexpr std::size_t kMaxFrameBytes = 1U << 30;

// Header of a frame. `header_hash` covers the fields before it.
struct frame_header {
  std::uint32_t magic = kFrameMagic;
  std::uint32_t size = 0;  // bytes of the payload
  std::uint64_t payload_hash = 0;
  std::uint64_t header_hash = 0;
};

auto HashHeader(const frame_header& header) -> std::uint64_t {
  return HashBytes(std::string_view(reinterpret_cast<const char*>(&header),
                                    offsetof(frame_header, header_hash)));
}

auto IsAllZero(std::string_view bytes) -> bool {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](char c) { return c == '\0'; });
}

}  // namespace

auto MakeFrame(const std::string& payload) -> std::string {
  auto header = frame_header();
  header.size = static_cast<std::uint32_t>(payload.size());
  header.payload_hash = HashBytes(payload);
  header.header_hash = HashHeader(header);
  return std::string(reinterpret_cast<const char*>(&header), sizeof(header)) +
         payload;
}

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

auto FindLaterFrame(std::string_view rest) -> std::size_t {
  const auto magic = kFrameMagic;
  const auto magic_bytes =
      std::string_view(reinterpret_cast<const char*>(&magic), sizeof(magic));
  for (auto at = rest.find(magic_bytes, 1); at != std::string_view::npos;
       at = rest.find(magic_bytes, at + 1)) {
    if (ParseFrame(rest.substr(at)).state == frame_state::complete) {
      return at;
    }
  }
  return std::string_view::npos;
}

}  // namespace ebony
