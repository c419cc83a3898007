#include "shell/commands.h"

namespace yuccapick {

int RunAgent(int /*argc*/, char** /*argv*/) { return kExitUsage; }

}  // namespace yuccapick
