#ifndef EBONY_MAIN_ADDRESS_LIST_H_
#define EBONY_MAIN_ADDRESS_LIST_H_

#include <string>
#include <vector>

#include "core/ids.h"
#include "drivers/link.h"

namespace ebony {

// One entry VM of the setting --entries.
struct entry_peer {
  vm_name name;
  data_centre_name data_centre;
  host_port link_address;
  host_port http_address;
};

// Parses NAME=IP:PORT items. Throws settings_error with all errors.
auto ParseVoters(const std::vector<std::string>& items)
    -> std::vector<link_peer>;
// Parses NAME@DATA_CENTRE=LINK_IP:PORT/HTTP_IP:PORT items. Throws
// settings_error with all errors.
auto ParseEntries(const std::vector<std::string>& items)
    -> std::vector<entry_peer>;

// Returns true for an address of the loopback network 127.0.0.0/8.
auto IsLoopback(const host_port& address) -> bool;

struct api_key {
  std::string name;
  std::string key;
};
// Reads API keys from a file with one `NAME KEY` per line. Returns no keys for
// an empty path. Throws settings_error when the file cannot be read, contains
// no key, or grants permissions to anyone but its owner.
auto ReadKeys(const std::string& path) -> std::vector<api_key>;

// Returns the name of the key in the header value `authorization`
// ("Bearer KEY"), or an empty string when the key is unknown. The comparison
// takes the same time for all wrong keys of one length.
auto FindKeyName(const std::vector<api_key>& keys,
                 const std::string& authorization) -> std::string;

}  // namespace ebony

#endif  // EBONY_MAIN_ADDRESS_LIST_H_
