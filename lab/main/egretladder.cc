// The operators' tool. Every subcommand is a plug-in of the lab package.
#include <iostream>

#include "egretladder/lab/command.h"

int main(int argc, char** argv) {
  return egretladder::lab::RunCommandLine(
      egretladder::lab::CommandArgs(argv + 1, argv + argc),
      {std::cout, std::cerr});
}
