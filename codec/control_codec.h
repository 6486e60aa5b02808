#ifndef EBONY_CODEC_CONTROL_CODEC_H_
#define EBONY_CODEC_CONTROL_CODEC_H_

#include <string>

#include "control/control_state.h"

namespace ebony {

// Encodes and decodes the log payload of a command and the snapshot of the
// control state. Decoding throws ebony_error of kind storage_failed if the
// bytes are corrupt.
auto EncodeCommand(const control_command& command) -> std::string;
auto DecodeCommand(const std::string& bytes) -> control_command;
auto EncodeState(const control_data& data) -> std::string;
auto DecodeState(const std::string& bytes) -> control_data;

}  // namespace ebony

#endif  // EBONY_CODEC_CONTROL_CODEC_H_
