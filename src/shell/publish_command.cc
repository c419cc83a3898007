#include "shell/commands.h"

namespace yuccapick {

int RunPublish(int /*argc*/, char** /*argv*/) { return kExitUsage; }

}  // namespace yuccapick
