#ifndef EBONY_CORE_IDS_H_
#define EBONY_CORE_IDS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "core/strong_type.h"

namespace ebony {

// Names chosen by operators or by settings.
using vm_name = strong_type<struct vm_name_tag, std::string>;
using data_centre_name = strong_type<struct data_centre_tag, std::string>;
using caller_name = strong_type<struct caller_tag, std::string>;
using backend_name = strong_type<struct backend_tag, std::string>;
using record_name = strong_type<struct record_tag, std::string>;
using model_name = strong_type<struct model_tag, std::string>;
using adapter_name = strong_type<struct adapter_tag, std::string>;
using version_name = strong_type<struct version_tag, std::string>;
// Version of a backend server's software, not of a model's weights.
using software_version = strong_type<struct software_tag, std::string>;
using service_name = strong_type<struct service_tag, std::string>;
using host_port = strong_type<struct host_port_tag, std::string>;
using request_key = strong_type<struct request_key_tag, std::string>;

// Identifies a voter of the control group. Each new disk gets a new id.
using node_id = strong_type<struct node_tag, std::string>;

using term_number = strong_type<struct term_tag, std::uint64_t>;
using log_index = strong_type<struct log_index_tag, std::uint64_t>;
using order_id = strong_type<struct order_tag, std::uint64_t>;
using revision_number = strong_type<struct revision_tag, std::uint64_t>;
// Log index of the last change that a routing table contains.
using config_version = strong_type<struct config_version_tag, std::uint64_t>;
// Distinguishes the successive runs of one process.
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;
using request_id = strong_type<struct request_id_tag, std::uint64_t>;
using accelerator_index = strong_type<struct accelerator_tag, std::uint32_t>;

using mebibytes = strong_type<struct mebibytes_tag, std::uint64_t>;

using duration = std::chrono::microseconds;
// Monotonic time of one process. Values of different processes must not be
// compared.
using mono_time = std::chrono::time_point<std::chrono::steady_clock,
                                          std::chrono::microseconds>;

}  // namespace ebony

#endif  // EBONY_CORE_IDS_H_
