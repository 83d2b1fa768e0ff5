// Registry of plug-ins, which register themselves by kind and name.
#pragma once

#include <string_view>
#include <vector>

namespace egretladder::kernel {

/// One registered plug-in. `table` points to a struct of function pointers; its
/// type depends on the kind.
struct PluginEntry {
  std::string_view kind;
  std::string_view name;
  const void* table = nullptr;
};

/// Adds a plug-in to the registry. Called only by static `PluginRegistrar`
/// objects.
void RegisterPlugin(const PluginEntry& entry);

/// Returns the table of the plug-in of this kind and name, or null.
const void* FindPluginTable(std::string_view kind, std::string_view name);

/// Returns the plug-in of this name, or null. The table lives as long as the
/// process. `Table` declares its kind as
/// `static constexpr std::string_view kKind`.
template <typename Table>
const Table* FindPlugin(std::string_view name) {
  return static_cast<const Table*>(FindPluginTable(Table::kKind, name));
}

/// Returns the names of all plug-ins of one kind in alphabetical order.
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
