#ifndef YUCCAPICK_CONTROL_MESSAGE_H_
#define YUCCAPICK_CONTROL_MESSAGE_H_

/// @file
/// What two processes tell each other of their configuration. Call and answer
/// have the same form.

#include <string>

#include "absl/status/statusor.h"
#include "yuccapick/config_sync.h"
#include "yuccapick/ids.h"

namespace yuccapick {

struct ControlMessage {
  ConfigVersion have;   ///< In force at the sender.
  ConfigBundle bundle;  ///< A newer one for the receiver; version 0 if none.
};

std::string EncodeControl(const ControlMessage& message);
absl::StatusOr<ControlMessage> DecodeControl(const std::string& bytes);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONTROL_MESSAGE_H_
