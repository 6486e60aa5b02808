#include "core/domain.h"

namespace ebony {

auto ParsePriority(std::string_view text) -> std::optional<priority_class> {
  if (text == "urgent") {
    return priority_class::urgent;
  }
  if (text == "interactive") {
    return priority_class::interactive;
  }
  if (text == "batch") {
    return priority_class::batch;
  }
  return std::nullopt;
}

auto GetPriorityText(priority_class priority) -> std::string_view {
  switch (priority) {
    case priority_class::urgent:
      return "urgent";
    case priority_class::interactive:
      return "interactive";
    case priority_class::batch:
      break;
  }
  return "batch";
}

}  // namespace ebony
