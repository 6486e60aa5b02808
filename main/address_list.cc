#include "main/address_list.h"

#include <arpa/inet.h>
#include <sys/stat.h>

#include <fstream>
#include <sstream>

#include "settings/settings_loader.h"

namespace ebony {

namespace {

auto IsIpAndPort(const std::string& text) -> bool {
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

// Splits at the first separator. The second part is empty without one.
auto SplitAtFirst(const std::string& text, char separator)
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
  auto errors = std::vector<std::string>();
  for (const auto& item : items) {
    const auto [name, address] = SplitAtFirst(item, '=');
    if (name.empty() || !IsIpAndPort(address)) {
      errors.push_back("--voters: '" + item + "' must be NAME=IP:PORT");
    }
    peers.push_back({vm_name(name), host_port(address)});
  }
  if (!errors.empty()) {
    throw settings_error(errors);
  }
  return peers;
}

auto ParseEntries(const std::vector<std::string>& items)
    -> std::vector<entry_peer> {
  auto peers = std::vector<entry_peer>();
  auto errors = std::vector<std::string>();
  for (const auto& item : items) {
    const auto [identity, addresses] = SplitAtFirst(item, '=');
    const auto [name, data_centre] = SplitAtFirst(identity, '@');
    const auto [link_address, http_address] = SplitAtFirst(addresses, '/');
    if (name.empty() || data_centre.empty() || !IsIpAndPort(link_address) ||
        !IsIpAndPort(http_address)) {
      errors.push_back("--entries: '" + item +
                       "' must be NAME@DATA_CENTRE=IP:PORT/IP:PORT");
    }
    peers.push_back({vm_name(name), data_centre_name(data_centre),
                     host_port(link_address), host_port(http_address)});
  }
  if (!errors.empty()) {
    throw settings_error(errors);
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
    throw settings_error({path + ": must be readable by its owner only"});
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
    throw settings_error(
        {path + ": contains no key; each line must be NAME KEY"});
  }
  return keys;
}

auto FindKeyName(const std::vector<api_key>& keys,
                 const std::string& authorization) -> std::string {
  const auto prefix = std::string("Bearer ");
  if (authorization.rfind(prefix, 0) != 0) {
    return "";
  }
  const auto presented = authorization.substr(prefix.size());
  auto name = std::string();
  for (const auto& key : keys) {
    // Compares all bytes, so that the time does not depend on where the keys
    // differ.
    auto difference = static_cast<unsigned>(key.key.size() ^ presented.size());
    for (auto i = std::size_t{0}; i < presented.size(); ++i) {
      difference |= static_cast<unsigned char>(presented[i] ^
                                               key.key[i % key.key.size()]);
    }
    if (difference == 0) {
      name = key.name;
    }
  }
  return name;
}

}  // namespace ebony
