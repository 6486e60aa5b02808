#ifndef EBONY_MAIN_PEER_FIELDS_H_
#define EBONY_MAIN_PEER_FIELDS_H_

#include <string>

#include "drivers/http_message.h"

namespace ebony {

// Header fields by which gateways talk to each other when one hands a request
// over. From anybody else they mean nothing, and are passed on to nobody.

// Removes them from a message of a caller, a backend server or a peer.
auto RemovePeerFields(http_head& head) -> void;

// Returns the terms that a peer has sent with a request, not yet decoded, or
// nullptr unless they are there exactly once: one of several may be a caller's,
// which a peer of an earlier build passes on.
auto FindHandoverTerms(const http_head& head) -> const std::string*;

}  // namespace ebony

#endif  // EBONY_MAIN_PEER_FIELDS_H_
