#ifndef EBONY_MAIN_ADDRESS_LIST_H_
#define EBONY_MAIN_ADDRESS_LIST_H_

#include <string>
#include <vector>

#include "core/ids.h"
#include "drivers/link.h"

namespace ebony {

// One entry VM as the settings name it.
struct entry_peer {
  vm_name name;
  data_centre_name data_centre;
  host_port link_address;
  host_port http_address;
};

// Parses NAME=HOST:PORT items. Throws settings_error with all faults.
auto ParseVoters(const std::vector<std::string>& items)
    -> std::vector<link_peer>;
// Parses NAME@DATA_CENTRE=LINK_HOST:PORT/HTTP_HOST:PORT items.
auto ParseEntries(const std::vector<std::string>& items)
    -> std::vector<entry_peer>;

// True for an address of the loopback network.
auto IsLoopback(const host_port& address) -> bool;

// Reads API keys, one `NAME KEY` a line, from a file that only its owner may
// read. Throws settings_error.
struct api_key {
  std::string name;
  std::string key;
};
auto ReadKeys(const std::string& path) -> std::vector<api_key>;

// Returns the name that `authorization` ("Bearer KEY") proves, or nothing.
// The comparison takes the same time for every wrong key of one length.
auto FindKeyName(const std::vector<api_key>& keys,
                 const std::string& authorization) -> std::string;

}  // namespace ebony

#endif  // EBONY_MAIN_ADDRESS_LIST_H_
