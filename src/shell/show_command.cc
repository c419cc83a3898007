#include "shell/commands.h"

namespace yuccapick {

int RunShow(int /*argc*/, char** /*argv*/) { return kExitUsage; }

}  // namespace yuccapick
