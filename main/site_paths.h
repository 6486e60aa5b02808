#ifndef EBONY_MAIN_SITE_PATHS_H_
#define EBONY_MAIN_SITE_PATHS_H_

#include <cstdint>

namespace ebony {

// HTTP paths of the requests between gateways and coordinators.
constexpr const char* kRaftPath = "/v1/raft";
constexpr const char* kJoinPath = "/v1/join";
constexpr const char* kSyncPath = "/v1/sync";
constexpr const char* kAnnouncePath = "/v1/announce";
// Largest body of these requests, and of their answers.
constexpr std::uint64_t kMaxLinkBodyBytes = std::uint64_t{32} * 1024 * 1024;

}  // namespace ebony

#endif  // EBONY_MAIN_SITE_PATHS_H_
