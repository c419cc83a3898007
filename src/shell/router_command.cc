#include "shell/commands.h"

namespace yuccapick {

int RunRouter(int /*argc*/, char** /*argv*/) { return kExitUsage; }

}  // namespace yuccapick
