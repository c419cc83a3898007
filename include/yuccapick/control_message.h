#ifndef YUCCAPICK_CONTROL_MESSAGE_H_
#define YUCCAPICK_CONTROL_MESSAGE_H_

/// @file
/// Message by which two processes synchronise their configuration. Request and
/// response have the same form.

#include <string>

#include "absl/status/statusor.h"
#include "yuccapick/config_sync.h"
#include "yuccapick/ids.h"

namespace yuccapick {

struct ControlMessage {
  ConfigVersion have;   ///< Active version of the sender.
  ConfigBundle bundle;  ///< Newer than the receiver's, or version 0.
};

std::string EncodeControl(const ControlMessage& message);
absl::StatusOr<ControlMessage> DecodeControl(const std::string& bytes);

}  // namespace yuccapick

#endif  // YUCCAPICK_CONTROL_MESSAGE_H_
