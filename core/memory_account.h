#ifndef EBONY_CORE_MEMORY_ACCOUNT_H_
#define EBONY_CORE_MEMORY_ACCOUNT_H_

#include <array>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>

#include "core/ids.h"

namespace ebony {

// IPv4 address of a client, without its port.
using client_address = strong_type<struct client_address_tag, std::uint32_t>;

// Requests up to this size may use the memory that is reserved for small ones:
// a body of 64 KiB with its head.
inline constexpr std::uint64_t kSmallRequestBytes = std::uint64_t{96} * 1024;

struct memory_limits {
  std::uint64_t total = 0;            // bytes; 0: no limit
  std::uint64_t small_reserve = 0;    // for small requests
  std::uint64_t control_reserve = 0;  // for requests between the daemons
};

// Returns the limits for a VM with this much memory; 0: unknown.
auto GetMemoryLimits(std::uint32_t memory_mb) -> memory_limits;

// Who asks for memory.
enum class memory_user { client, daemon };

enum class memory_verdict {
  granted,
  no_room,
  over_share,  // the client holds its share, and others want memory
};

// The memory that a process holds for its callers. A client may hold more than
// a quarter of it only while no other client is refused memory. A request that
// is the only large one is granted whatever it needs.
class memory_account {
  struct want {
    client_address client;
    mono_time until;
  };

  memory_limits limits_;
  std::uint64_t used_ = 0;
  std::uint64_t used_by_large_ = 0;  // by requests that are not small
  std::unordered_map<client_address, std::uint64_t> used_by_client_;
  // The last two clients that were refused memory: for each client, one of them
  // is another one.
  std::array<want, 2> wants_ = {};

  auto GetRoom(memory_user user, std::uint64_t bytes) const -> std::uint64_t;
  auto HasOtherWants(client_address client, mono_time now) const -> bool;
  auto RecordWant(client_address client, mono_time now) -> void;

 public:
  explicit memory_account(memory_limits limits);

  // Changes what a request of the client holds from `from` to `to` bytes, if
  // there is room for it.
  auto Draw(client_address client,
            memory_user user,
            std::uint64_t from,
            std::uint64_t to,
            mono_time now) -> memory_verdict;
  // The same without a check: for less memory, and for what is held already.
  auto Set(client_address client, std::uint64_t from, std::uint64_t to) -> void;

  // Returns how many bytes have to be returned until `Draw` can grant this.
  auto GetShortage(client_address client,
                   memory_user user,
                   std::uint64_t from,
                   std::uint64_t to,
                   memory_verdict verdict) const -> std::uint64_t;
  // Returns how much is held beyond the limit.
  auto GetOverdraft() const -> std::uint64_t;
  auto GetUsedBy(client_address client) const -> std::uint64_t;
  // Returns the client that holds most; the default one if there is none.
  auto FindLargest() const -> client_address;
  auto get_used() const -> std::uint64_t { return used_; }
  auto get_limit() const -> std::uint64_t { return limits_.total; }
  auto get_share() const -> std::uint64_t { return limits_.total / 4; }
  auto get_clients() const -> std::size_t { return used_by_client_.size(); }
};

// What one request or connection holds. Returns it when it is destroyed.
class memory_charge {
  std::shared_ptr<memory_account> account_;
  client_address client_;
  memory_user user_ = memory_user::client;
  std::uint64_t bytes_ = 0;

 public:
  // Holds nothing, and counts nothing.
  memory_charge() = default;
  memory_charge(std::shared_ptr<memory_account> account,
                client_address client,
                memory_user user)
      : account_(std::move(account)), client_(client), user_(user) {}
  ~memory_charge() { Set(0); }
  memory_charge(memory_charge&& other) noexcept;
  auto operator=(memory_charge&& other) noexcept -> memory_charge&;

  // Grows to `bytes` if there is room for it.
  auto GrowTo(std::uint64_t bytes, mono_time now) -> memory_verdict;
  // Counts `bytes`, whether there is room for it or not.
  auto Set(std::uint64_t bytes) -> void {
    if (account_ != nullptr && bytes != bytes_) {
      account_->Set(client_, bytes_, bytes);
      bytes_ = bytes;
    }
  }
  auto GetShortage(std::uint64_t bytes, memory_verdict verdict) const
      -> std::uint64_t;
  auto get_bytes() const -> std::uint64_t { return bytes_; }
  auto get_client() const -> client_address { return client_; }
};

}  // namespace ebony

#endif  // EBONY_CORE_MEMORY_ACCOUNT_H_
