#ifndef YUCCAPICK_SHELL_COMMANDS_H_
#define YUCCAPICK_SHELL_COMMANDS_H_

/// @file
/// Entry points of the subcommands. Each parses its own arguments and returns
/// the process's exit code.

namespace yuccapick {

/// Exit codes of every subcommand.
enum ExitCode {
  kExitOk = 0,
  kExitFailed = 1,    ///< The command ran and failed.
  kExitUsage = 2,     ///< Invalid command line or settings.
  kExitConflict = 3,  ///< Another operator published first.
  kExitUnknown = 4,   ///< Unknown whether the change took effect.
};

int RunRouter(int argc, char** argv);
int RunAgent(int argc, char** argv);
int RunPublish(int argc, char** argv);
int RunCheck(int argc, char** argv);
int RunShow(int argc, char** argv);
int RunGateway(int argc, char** argv);
int RunExplain(int argc, char** argv);

}  // namespace yuccapick

#endif  // YUCCAPICK_SHELL_COMMANDS_H_
