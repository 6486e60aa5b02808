#ifndef EBONY_CORE_ORGANISATION_H_
#define EBONY_CORE_ORGANISATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace ebony {

// Name of an organisation on whose behalf callers send requests.
using organisation_name = strong_type<struct organisation_tag, std::string>;

// Number of tokens, or of requests if a quota counts requests.
using quota_amount = strong_type<struct quota_amount_tag, std::uint64_t>;

// What a quota counts.
enum class quota_unit {
  requests,
  tokens,  // of the prompt and of the longest output, as announced
};

// Limit of what all gateways together may send to backend servers for one
// organisation: a token bucket.
struct token_quota {
  quota_unit unit = quota_unit::requests;
  quota_amount rate_per_second;  // 0: no limit
  quota_amount burst;
  // Amount of a request that announces no tokens.
  quota_amount plain_amount = quota_amount(1);

  auto operator==(const token_quota&) const -> bool = default;
};

// An organisation of a configuration.
struct organisation {
  organisation_name name;
  // Keys by which callers show that they belong to it. Secret: they are never
  // sent on, logged or counted.
  std::vector<std::string> keys;
  std::optional<int> priority;  // 0 is the most urgent
  token_quota quota;
};

}  // namespace ebony

#endif  // EBONY_CORE_ORGANISATION_H_
