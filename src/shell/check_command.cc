#include "shell/commands.h"

namespace yuccapick {

int RunCheck(int /*argc*/, char** /*argv*/) { return kExitUsage; }

}  // namespace yuccapick
