// Plug-ins that register themselves by kind and name.
#pragma once

#include <string_view>
#include <vector>

namespace egretladder::kernel {

/// One registered plug-in: `table` points at a plain struct of free functions
/// whose type the kind fixes.
struct PluginEntry {
  std::string_view kind;
  std::string_view name;
  const void* table = nullptr;
};

/// Puts a plug-in into the registry; called by static registrars only.
void RegisterPlugin(const PluginEntry& entry);

/// Returns the table of kind and name, or null. `Table` declares its kind as
/// `static constexpr std::string_view kKind`.
const void* FindPluginTable(std::string_view kind, std::string_view name);

/// The plug-in of this name, or null. Lives as long as the process.
template <typename Table>
const Table* FindPlugin(std::string_view name) {
  return static_cast<const Table*>(FindPluginTable(Table::kKind, name));
}

/// Lists the names of one kind in alphabetical order.
std::vector<std::string_view> PluginNames(std::string_view kind);

/// A static object of this type registers `table` before main starts:
/// `const PluginRegistrar<SchedulerPlugin> kRegistrar("fifo", kTable);`
template <typename Table>
struct PluginRegistrar {
  PluginRegistrar(std::string_view name, const Table& table) {
    RegisterPlugin({Table::kKind, name, &table});
  }
};

}  // namespace egretladder::kernel
