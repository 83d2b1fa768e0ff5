// A file of one test process, gone with this object.
#pragma once

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace egretladder::lab::testing {

/// Two runs of a test program at once must not write to the same file.
class ScratchFile {
 public:
  /// `name` ends the file's name, so that it may carry an ending.
  explicit ScratchFile(const std::string& name)
      : path_((std::filesystem::temp_directory_path() /
               ("egretladder-" + std::to_string(getpid()) + "-" + name))
                  .string()) {}
  ~ScratchFile() { std::filesystem::remove(path_); }
  ScratchFile(const ScratchFile&) = delete;
  ScratchFile& operator=(const ScratchFile&) = delete;

  void Write(const std::string& text) const { std::ofstream(path_) << text; }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace egretladder::lab::testing
