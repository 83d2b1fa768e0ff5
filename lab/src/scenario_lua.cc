// The verbs of the scenario language, over Lua 5.4.
#include <functional>
#include <lua.hpp>
#include <memory>

#include "egretladder/kernel/ini.h"
#include "egretladder/kernel/time.h"
#include "scenario_build_p.h"

namespace egretladder::lab {
namespace {

using LuaPtr = std::unique_ptr<lua_State, decltype(&lua_close)>;

/// A verb with one table. Returns the number of its draft, or none.
using TableVerb = std::optional<int> (*)(ScenarioBuilder&, Fields&, int line);

struct VerbEntry {
  const char* name;
  TableVerb verb;
};

ScenarioBuilder& BuilderOf(lua_State* lua) {
  return **static_cast<ScenarioBuilder**>(lua_getextraspace(lua));
}

int LineOf(lua_State* lua) {
  lua_Debug info;
  if (lua_getstack(lua, 1, &info) == 0) return 0;
  lua_getinfo(lua, "l", &info);
  return info.currentline;
}

std::vector<std::string> ReadList(lua_State* lua, int index) {
  std::vector<std::string> list;
  const auto size = static_cast<lua_Integer>(lua_rawlen(lua, index));
  for (lua_Integer i = 1; i <= size; ++i) {
    lua_rawgeti(lua, index, i);
    const char* text = lua_tostring(lua, -1);
    list.emplace_back(text == nullptr ? "" : text);
    lua_pop(lua, 1);
  }
  return list;
}

FieldValue ReadValue(lua_State* lua, int index) {
  switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
      return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
      return static_cast<double>(lua_tonumber(lua, index));
    case LUA_TSTRING:
      return std::string(lua_tostring(lua, index));
    case LUA_TTABLE:
      return ReadList(lua, lua_absindex(lua, index));
    default:
      return std::string();
  }
}

/// Reads the table at stack index 1. A field without a name counts as `1`.
void ReadTable(lua_State* lua, Fields& fields) {
  if (!lua_istable(lua, 1)) {
    fields.error = fields.verb + ": takes one table, " + fields.verb + "{...}";
    return;
  }
  lua_pushnil(lua);
  while (lua_next(lua, 1) != 0) {
    const bool named = lua_type(lua, -2) == LUA_TSTRING;
    const std::string name =
        named ? lua_tostring(lua, -2) : std::to_string(lua_tointeger(lua, -2));
    fields.values[name] = ReadValue(lua, -1);
    lua_pop(lua, 1);
  }
}

/// Runs a table verb. Nothing with a destructor lives here when an error is
/// raised, since Lua leaves by a long jump.
int CallTableVerb(lua_State* lua) {
  ScenarioBuilder& builder = BuilderOf(lua);
  int draft = -1;
  {
    const auto* entry =
        static_cast<const VerbEntry*>(lua_touserdata(lua, lua_upvalueindex(1)));
    Fields fields{entry->name, {}, ""};
    ReadTable(lua, fields);
    if (fields.error.empty()) {
      draft = entry->verb(builder, fields, LineOf(lua)).value_or(-1);
      EndFields(fields);
    }
    builder.error = fields.error;
  }
  if (!builder.error.empty())
    return luaL_error(lua, "%s", builder.error.c_str());
  if (draft < 0) return 0;
  lua_pushinteger(lua, draft);
  return 1;
}

/// Reads a duration at a stack index; leaves `error` otherwise.
milliseconds ReadSpan(lua_State* lua, int index, const char* verb,
                      std::string& error) {
  const char* text = lua_tostring(lua, index);
  const auto span = kernel::ParseDuration(text == nullptr ? "" : text);
  if (span.count() < 0) {
    error = std::string(verb) + ": takes a time such as \"20s\" first";
  }
  return std::chrono::duration_cast<milliseconds>(span);
}

void PlaceDraft(ScenarioBuilder& builder, milliseconds at, lua_Integer number,
                std::string& error) {
  const bool known =
      number >= 0 && number < static_cast<lua_Integer>(builder.drafts.size());
  if (!known) {
    error = "at: takes a time and an event, at(\"20s\", slow{...})";
    return;
  }
  ScenarioBuilder::Draft& draft =
      builder.drafts[static_cast<std::size_t>(number)];
  draft.placed = true;
  if (!draft.burst) {
    draft.event.at = at;
    builder.scenario.events.push_back(draft.event);
    return;
  }
  LoadSpec burst = *draft.burst;
  burst.from = at;
  burst.to = at + burst.to;
  builder.scenario.loads.push_back(burst);
}

/// `at("20s", event, ...)`.
int CallAt(lua_State* lua) {
  ScenarioBuilder& builder = BuilderOf(lua);
  builder.error.clear();
  const milliseconds at = ReadSpan(lua, 1, "at", builder.error);
  const int count = lua_gettop(lua);
  for (int i = 2; i <= count && builder.error.empty(); ++i) {
    int is_number = 0;
    const lua_Integer number = lua_tointegerx(lua, i, &is_number);
    PlaceDraft(builder, at, is_number != 0 ? number : -1, builder.error);
  }
  if (!builder.error.empty())
    return luaL_error(lua, "%s", builder.error.c_str());
  return 0;
}

/// `run("60s")`.
int CallRun(lua_State* lua) {
  ScenarioBuilder& builder = BuilderOf(lua);
  builder.error.clear();
  builder.scenario.run = ReadSpan(lua, 1, "run", builder.error);
  if (!builder.error.empty())
    return luaL_error(lua, "%s", builder.error.c_str());
  return 0;
}

std::string Join(const std::vector<std::string>& names) {
  std::string joined;
  for (const std::string& name : names) {
    joined += (joined.empty() ? "" : ",") + name;
  }
  return joined;
}

std::string TextOf(const FieldValue& value) {
  if (const auto* flag = std::get_if<bool>(&value)) return *flag ? "yes" : "no";
  if (const auto* list = std::get_if<std::vector<std::string>>(&value)) {
    return Join(*list);
  }
  if (const auto* number = std::get_if<double>(&value)) {
    return std::to_string(static_cast<std::int64_t>(*number));
  }
  return std::get<std::string>(value);
}

/// Writes all fields left as the words of a rule; the rules' own reader checks
/// them.
std::string TakeWords(Fields& fields) {
  std::string words;
  for (const auto& [name, value] : fields.values) {
    words += (words.empty() ? "" : " ") + name + "=" + TextOf(value);
  }
  fields.values.clear();
  return words;
}

/// A path in a scenario is relative to the scenario's own directory.
std::string BesideScenario(const ScenarioBuilder& builder,
                           const std::string& path) {
  if (path.empty() || path[0] == '/') return path;
  const std::string& file = builder.scenario.file;
  const auto slash = file.rfind('/');
  if (slash == std::string::npos) return path;
  return file.substr(0, slash + 1) + path;
}

std::optional<int> Fleet(ScenarioBuilder& builder, Fields& fields, int line) {
  builder.fleet.line = line;
  builder.fleet.nodes = TakeCount(fields, "nodes", 7);
  builder.fleet.zones = TakeList(fields, "zones");
  builder.fleet.rules_file =
      BesideScenario(builder, TakeString(fields, "rules", ""));
  if (builder.fleet.zones.empty()) builder.fleet.zones = {"a", "b", "c"};
  Scenario& scenario = builder.scenario;
  scenario.seed = TakeCount(fields, "seed", 1);
  scenario.wire = std::chrono::duration_cast<std::chrono::microseconds>(
      TakeSpan(fields, "wire", scenario.wire));
  scenario.client = std::chrono::duration_cast<std::chrono::microseconds>(
      TakeSpan(fields, "client", scenario.client));
  scenario.starvation = TakeMillis(fields, "starvation", scenario.starvation);
  return std::nullopt;
}

std::optional<int> Endpoints(ScenarioBuilder& builder, Fields& fields,
                             int line) {
  EndpointGroup group;
  group.line = line;
  group.name = NeedString(fields, "name");
  group.count = TakeCount(fields, "count", 1);
  group.service = TakeBool(fields, "service", false);
  group.serves = TakeList(fields, "serves");
  for (const char* name :
       {"step", "step_per_call", "prefill", "cache_tokens", "queue",
        "warm_tokens", "cold_factor", "boot", "report_lag"}) {
    const auto at = fields.values.find(name);
    if (at != fields.values.end())
      group.engine.insert(fields.values.extract(at));
  }
  group.words = "serves=" + Join(group.serves) + " " + TakeWords(fields);
  builder.endpoints.push_back(std::move(group));
  return std::nullopt;
}

std::optional<int> ClassVerb(ScenarioBuilder& builder, Fields& fields, int) {
  std::string name = NeedString(fields, "name");
  builder.classes.emplace_back(std::move(name), TakeWords(fields));
  return std::nullopt;
}

std::optional<int> Account(ScenarioBuilder& builder, Fields& fields, int) {
  std::string name = NeedString(fields, "name");
  builder.accounts.emplace_back(std::move(name), TakeWords(fields));
  return std::nullopt;
}

LoadSpec TakeLoad(Fields& fields, int line) {
  LoadSpec load;
  load.line = line;
  load.cls = NeedString(fields, "class");
  load.account = NeedString(fields, "account");
  load.target = NeedString(fields, "target");
  load.rate = TakeNumber(fields, "rate", load.rate);
  load.prompt = TakeCount(fields, "prompt", load.prompt);
  load.output = TakeCount(fields, "output", load.output);
  load.spread = TakeNumber(fields, "spread", load.spread);
  load.prefixes = TakeCount(fields, "prefixes", load.prefixes);
  load.callers = std::max(1U, TakeCount(fields, "callers", load.callers));
  load.zone = TakeString(fields, "zone", "");
  load.patience = TakeMillis(fields, "patience", load.patience);
  load.timeout = TakeMillis(fields, "timeout", load.timeout);
  load.retries = TakeCount(fields, "retries", load.retries);
  load.poison = TakeBool(fields, "poison", false);
  return load;
}

std::optional<int> Load(ScenarioBuilder& builder, Fields& fields, int line) {
  LoadSpec load = TakeLoad(fields, line);
  load.from = TakeMillis(fields, "from", load.from);
  load.to = TakeMillis(fields, "to", load.to);
  builder.scenario.loads.push_back(std::move(load));
  return std::nullopt;
}

int AddDraft(ScenarioBuilder& builder, ScenarioBuilder::Draft draft) {
  builder.drafts.push_back(std::move(draft));
  return static_cast<int>(builder.drafts.size()) - 1;
}

std::optional<int> Burst(ScenarioBuilder& builder, Fields& fields, int line) {
  ScenarioBuilder::Draft draft;
  draft.event.line = line;
  LoadSpec load = TakeLoad(fields, line);
  load.to = TakeMillis(fields, "lasts", milliseconds(1000));
  draft.burst = std::move(load);
  return AddDraft(builder, std::move(draft));
}

template <EventKind kKind>
std::optional<int> Event(ScenarioBuilder& builder, Fields& fields, int line) {
  ScenarioBuilder::Draft draft;
  EventSpec& event = draft.event;
  event.line = line;
  event.kind = kKind;
  for (const char* name :
       {"1", "endpoint", "node", "zone", "nodes", "endpoints"}) {
    for (std::string& value : TakeList(fields, name)) {
      event.names.push_back(std::move(value));
    }
  }
  event.factor = TakeNumber(fields, "factor", 1);
  event.lasts = TakeMillis(fields, "lasts", kNever);
  event.text = TakeString(fields, "fault", "");
  if constexpr (kKind == EventKind::kDeploy) {
    const std::string file =
        BesideScenario(builder, TakeString(fields, "rules", ""));
    if (!file.empty()) {
      auto text = kernel::ReadFile(file);
      if (!text) fields.error = "deploy: " + kernel::Describe(text.error());
      if (text) event.text = std::move(text).value();
    }
  }
  return AddDraft(builder, std::move(draft));
}

std::optional<int> Expect(ScenarioBuilder& builder, Fields& fields, int line) {
  ExpectSpec expect;
  expect.line = line;
  expect.measure = NeedString(fields, "1");
  expect.cls = TakeString(fields, "class", "");
  expect.zone = TakeString(fields, "zone", "");
  expect.endpoint = TakeString(fields, "endpoint", "");
  expect.from = TakeMillis(fields, "from", expect.from);
  expect.to = TakeMillis(fields, "to", expect.to);
  expect.at_least = TakeNumber(fields, "at_least", expect.at_least);
  expect.at_most = TakeNumber(fields, "at_most", expect.at_most);
  builder.scenario.expects.push_back(std::move(expect));
  return std::nullopt;
}

const VerbEntry kVerbs[] = {
    {"fleet", Fleet},
    {"endpoints", Endpoints},
    {"class", ClassVerb},
    {"account", Account},
    {"load", Load},
    {"burst", Burst},
    {"expect", Expect},
    {"slow", Event<EventKind::kSlow>},
    {"crash", Event<EventKind::kCrash>},
    {"cold", Event<EventKind::kCold>},
    {"lag", Event<EventKind::kLag>},
    {"cut", Event<EventKind::kCut>},
    {"heal", Event<EventKind::kHeal>},
    {"lose", Event<EventKind::kLose>},
    {"pause", Event<EventKind::kPause>},
    {"kill", Event<EventKind::kKill>},
    {"restart", Event<EventKind::kRestart>},
    {"leave", Event<EventKind::kLeave>},
    {"back", Event<EventKind::kReturn>},
    {"zone_out", Event<EventKind::kZoneOut>},
    {"zone_back", Event<EventKind::kZoneBack>},
    {"platform", Event<EventKind::kPlatform>},
    {"deploy", Event<EventKind::kDeploy>},
};

/// Only what can't touch the machine, and nothing random: a scenario gives the
/// same result each time.
void OpenLibraries(lua_State* lua) {
  luaL_requiref(lua, LUA_GNAME, luaopen_base, 1);
  luaL_requiref(lua, LUA_STRLIBNAME, luaopen_string, 1);
  luaL_requiref(lua, LUA_TABLIBNAME, luaopen_table, 1);
  luaL_requiref(lua, LUA_MATHLIBNAME, luaopen_math, 1);
  for (const char* name : {"random", "randomseed"}) {
    lua_pushnil(lua);
    lua_setfield(lua, -2, name);
  }
  lua_settop(lua, 0);
  for (const char* name : {"dofile", "loadfile", "load", "print"}) {
    lua_pushnil(lua);
    lua_setglobal(lua, name);
  }
}

void AddVerbs(lua_State* lua) {
  for (const VerbEntry& entry : kVerbs) {
    lua_pushlightuserdata(lua, const_cast<VerbEntry*>(&entry));
    lua_pushcclosure(lua, CallTableVerb, 1);
    lua_setglobal(lua, entry.name);
  }
  lua_register(lua, "at", CallAt);
  lua_register(lua, "run", CallRun);
}

kernel::Error Fault(const std::string& peer, std::string detail) {
  return kernel::MakeError(kernel::ErrorCode::kInvalidInput, "read scenario",
                           peer, std::move(detail));
}

/// Splits Lua's `file:line: what`.
kernel::Error LuaFault(const std::string& file, const std::string& message) {
  const std::string prefix = file + ":";
  const auto colon = message.find(": ", prefix.size());
  if (message.rfind(prefix, 0) != 0 || colon == std::string::npos) {
    return Fault(file, message);
  }
  return Fault(message.substr(0, colon), message.substr(colon + 2));
}

kernel::Result<void> RunLua(ScenarioBuilder& builder, const std::string& text) {
  const LuaPtr lua(luaL_newstate(), lua_close);
  *static_cast<ScenarioBuilder**>(lua_getextraspace(lua.get())) = &builder;
  OpenLibraries(lua.get());
  AddVerbs(lua.get());
  lua_pushinteger(lua.get(), static_cast<lua_Integer>(builder.scenario.seed));
  lua_setglobal(lua.get(), "seed");
  const std::string chunk = "@" + builder.scenario.file;
  const bool ran = luaL_loadbufferx(lua.get(), text.data(), text.size(),
                                    chunk.c_str(), "t") == LUA_OK &&
                   lua_pcall(lua.get(), 0, 0, 0) == LUA_OK;
  if (ran) return BOOST_OUTCOME_V2_NAMESPACE::success();
  const char* message = lua_tostring(lua.get(), -1);
  return LuaFault(builder.scenario.file, message == nullptr ? "" : message);
}

kernel::Result<void> CheckWhole(const ScenarioBuilder& builder) {
  const std::string& file = builder.scenario.file;
  for (const auto& draft : builder.drafts) {
    if (draft.placed) continue;
    return Fault(file + ":" + std::to_string(draft.event.line),
                 "the event is made but not placed by at(...)");
  }
  if (builder.scenario.run.count() == 0) {
    return Fault(file, "run(\"60s\") is missing");
  }
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace

kernel::Result<Scenario> ReadScenario(const std::string& file,
                                      std::uint64_t seed) {
  BOOST_OUTCOME_TRY(text, kernel::ReadFile(file));
  ScenarioBuilder builder;
  builder.scenario.file = file;
  if (seed != 0) builder.scenario.seed = seed;
  BOOST_OUTCOME_TRY(RunLua(builder, text));
  if (seed != 0) builder.scenario.seed = seed;
  BOOST_OUTCOME_TRY(CheckWhole(builder));
  auto rules = MakeRules(builder);
  if (!rules) return rules.error();
  builder.scenario.rules = std::move(rules).value();
  BOOST_OUTCOME_TRY(MakeEngines(builder));
  return std::move(builder.scenario);
}

}  // namespace egretladder::lab
