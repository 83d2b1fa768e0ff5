// The operators' tool. Every subcommand is a plug-in of the lab package.
#include <csignal>
#include <iostream>

#include "egretladder/lab/command.h"

int main(int argc, char** argv) {
  // A stand-in outlives callers that reset their connections.
  std::signal(SIGPIPE, SIG_IGN);
  return egretladder::lab::RunCommandLine(
      egretladder::lab::CommandArgs(argv + 1, argv + argc),
      {std::cout, std::cerr});
}
