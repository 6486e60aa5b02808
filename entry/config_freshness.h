#ifndef EBONY_ENTRY_CONFIG_FRESHNESS_H_
#define EBONY_ENTRY_CONFIG_FRESHNESS_H_

#include <string_view>

#include "core/ids.h"

namespace ebony {

// Whether requests may be routed by the configuration at hand.
enum class config_standing {
  current,      // no newer one was acknowledged longer ago than the limit
  unconfirmed,  // a newer one may have been
  // The same, but the control group has no leader or cannot be reached at all.
  // Requests are routed as before, but none is said to have no route.
  isolated,
};

// Returns the name used in log lines.
auto GetStandingText(config_standing standing) -> std::string_view;

// Decides for how long a gateway may act on its configuration without a
// confirmation that it is still the newest. Each confirmation holds for the
// time within which a newer configuration has to be in force, counted from a
// time at which none had been acknowledged; so the clocks of two processes are
// never compared.
class config_freshness {
  duration limit_;
  mono_time confirmed_at_;
  mono_time last_contact_;
  bool is_confirmed_ = false;

 public:
  // Time after the latest sign of a control group that leads, from which on the
  // gateway counts as isolated. Longer than it takes to try one coordinator.
  static constexpr duration kContactMemory = std::chrono::milliseconds(1000);

  // `limit`: from the acknowledgement of a configuration until it has to be in
  // force everywhere.
  explicit config_freshness(duration limit) : limit_(limit) {}

  // At `time`, no newer configuration had been acknowledged than the one at
  // hand.
  auto OnConfirmed(mono_time time) -> void;
  // A coordinator took a connection or named a leader, so there may be a newer
  // configuration.
  auto OnContact(mono_time now) -> void;

  auto GetStanding(mono_time now) const -> config_standing;
  // Returns true if the latest confirmation is younger than `age`.
  auto IsConfirmedWithin(duration age, mono_time now) const -> bool {
    return is_confirmed_ && now - confirmed_at_ < age;
  }
  // Returns the time since the latest confirmation holds; 0 if there was none.
  auto GetAge(mono_time now) const -> duration;
};

}  // namespace ebony

#endif  // EBONY_ENTRY_CONFIG_FRESHNESS_H_
