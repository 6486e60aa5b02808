#include "main/address_list.h"

#include <arpa/inet.h>
#include <sys/stat.h>

#include <fstream>
#include <sstream>

#include "settings/settings_loader.h"

namespace ebony {

namespace {

auto IsAddress(const std::string& text) -> bool {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos || colon + 1 == text.size()) {
    return false;
  }
  auto parsed = in_addr();
  const auto host = text.substr(0, colon);
  const auto port = text.substr(colon + 1);
  return inet_pton(AF_INET, host.c_str(), &parsed) == 1 &&
         port.find_first_not_of("0123456789") == std::string::npos &&
         port.size() <= 5;
}

auto SplitAt(const std::string& text, char separator)
    -> std::pair<std::string, std::string> {
  const auto at = text.find(separator);
  if (at == std::string::npos) {
    return {text, ""};
  }
  return {text.substr(0, at), text.substr(at + 1)};
}

}  // namespace

auto ParseVoters(const std::vector<std::string>& items)
    -> std::vector<link_peer> {
  auto peers = std::vector<link_peer>();
  auto faults = std::vector<std::string>();
  for (const auto& item : items) {
    const auto [name, address] = SplitAt(item, '=');
    if (name.empty() || !IsAddress(address)) {
      faults.push_back("--voters: '" + item + "' must be NAME=IP:PORT");
    }
    peers.push_back({vm_name(name), host_port(address)});
  }
  if (!faults.empty()) {
    throw settings_error(faults);
  }
  return peers;
}

auto ParseEntries(const std::vector<std::string>& items)
    -> std::vector<entry_peer> {
  auto peers = std::vector<entry_peer>();
  auto faults = std::vector<std::string>();
  for (const auto& item : items) {
    const auto [who, addresses] = SplitAt(item, '=');
    const auto [name, site] = SplitAt(who, '@');
    const auto [link_address, http_address] = SplitAt(addresses, '/');
    if (name.empty() || site.empty() || !IsAddress(link_address) ||
        !IsAddress(http_address)) {
      faults.push_back("--entries: '" + item +
                       "' must be NAME@DATA_CENTRE=IP:PORT/IP:PORT");
    }
    peers.push_back({vm_name(name), data_centre_name(site),
                     host_port(link_address), host_port(http_address)});
  }
  if (!faults.empty()) {
    throw settings_error(faults);
  }
  return peers;
}

auto IsLoopback(const host_port& address) -> bool {
  return address.get().rfind("127.", 0) == 0;
}

auto ReadKeys(const std::string& path) -> std::vector<api_key> {
  auto keys = std::vector<api_key>();
  if (path.empty()) {
    return keys;
  }
  struct stat info = {};
  if (::stat(path.c_str(), &info) != 0) {
    throw settings_error({path + ": cannot read the key file"});
  }
  if ((info.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    throw settings_error({path + ": only its owner may read a key file"});
  }
  auto in = std::ifstream(path);
  auto line = std::string();
  while (std::getline(in, line)) {
    auto fields = std::istringstream(line);
    auto key = api_key();
    if (fields >> key.name >> key.key) {
      keys.push_back(std::move(key));
    }
  }
  if (keys.empty()) {
    throw settings_error({path + ": holds no key; give NAME KEY a line"});
  }
  return keys;
}

auto FindKeyName(const std::vector<api_key>& keys,
                 const std::string& authorization) -> std::string {
  const auto prefix = std::string("Bearer ");
  if (authorization.rfind(prefix, 0) != 0) {
    return "";
  }
  const auto given = authorization.substr(prefix.size());
  auto name = std::string();
  for (const auto& key : keys) {
    auto difference = static_cast<unsigned>(key.key.size() ^ given.size());
    for (auto i = std::size_t{0}; i < given.size(); ++i) {
      difference |=
          static_cast<unsigned char>(given[i] ^ key.key[i % key.key.size()]);
    }
    if (difference == 0) {
      name = key.name;
    }
  }
  return name;
}

}  // namespace ebony
