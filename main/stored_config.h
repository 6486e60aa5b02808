#ifndef EBONY_MAIN_STORED_CONFIG_H_
#define EBONY_MAIN_STORED_CONFIG_H_

#include "core/site_config.h"
#include "drivers/compression.h"

namespace ebony {

// A configuration as the operator sent it.
struct stored_config {
  config_number number;
  deflated_bytes body;
};

}  // namespace ebony

#endif  // EBONY_MAIN_STORED_CONFIG_H_
