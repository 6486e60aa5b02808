#include "entry/config_freshness.h"

#include <algorithm>

namespace ebony {

auto GetStandingText(config_standing standing) -> std::string_view {
  switch (standing) {
    case config_standing::current:
      return "current";
    case config_standing::unconfirmed:
      return "unconfirmed";
    case config_standing::isolated:
      return "isolated";
  }
  return "unknown";
}

auto config_freshness::OnConfirmed(mono_time time) -> void {
  confirmed_at_ = std::max(confirmed_at_, time);
  is_confirmed_ = true;
}

auto config_freshness::OnContact(mono_time now) -> void {
  last_contact_ = std::max(last_contact_, now);
}

auto config_freshness::GetStanding(mono_time now) const -> config_standing {
  if (IsConfirmedWithin(limit_, now)) {
    return config_standing::current;
  }
  return now - last_contact_ < kContactMemory ? config_standing::unconfirmed
                                              : config_standing::isolated;
}

auto config_freshness::GetAge(mono_time now) const -> duration {
  return is_confirmed_ ? now - confirmed_at_ : duration(0);
}

}  // namespace ebony
