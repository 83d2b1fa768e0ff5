// What arrives from the platform's store and from endpoints of the second
// front: entries, the configuration, lists and changes, reports, answers and
// their events. The first byte chooses.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

#include "egretladder/net/event_splitter.h"
#include "egretladder/net/http_reader.h"
#include "json_p.h"
#include "platform_p.h"

namespace en = egretladder::net;
namespace ep = egretladder::platform;

namespace {

constexpr int kReaders =
    16;  // The first byte of a seed is a digit or a letter.
constexpr std::uint64_t kRevision = 9;

// An entry that is accepted must be fit to stand in a header.
void ReadEntry(const std::string& text) {
  const auto entry = ep::ReadEndpoint({"servers/i-1", text, 1, false});
  if (entry && entry.value().address.find_first_of("\r\n") != std::string::npos)
    std::abort();
}

void ReadId(const std::string& text) {
  constexpr const char* kEntry =
      R"({"backend":"e","address":"10.0.0.9:80","zone":"a","slots":1,)"
      R"("state":"ready"})";
  const auto entry = ep::ReadEndpoint({"servers/" + text, kEntry, 1, false});
  if (entry && entry.value().id.find_first_of("\r\n ,;") != std::string::npos)
    std::abort();
}

// The reader must not care where the network cuts the answer.
void ReadAnswer(std::string_view bytes) {
  constexpr en::ReadLimits kLimits{4096, 65'536};
  en::AnswerReader whole(kLimits, false);
  whole.Feed(bytes);
  en::AnswerReader slow(kLimits, false);
  std::string rest;
  for (const char c : bytes) {
    rest += c;
    if (slow.state() == en::ReadState::kDone ||
        slow.state() == en::ReadState::kFailed) {
      break;
    }
    rest.erase(0, slow.Feed(rest));
  }
  const bool is_done = whole.state() == en::ReadState::kDone;
  if (is_done != (slow.state() == en::ReadState::kDone)) std::abort();
}

void SplitEvents(std::string_view bytes) {
  en::EventSplitter whole;
  const std::string events = en::SplitEvents(whole, bytes);
  en::EventSplitter slow;
  std::string passed;
  for (const char c : bytes) passed += en::SplitEvents(slow, {&c, 1});
  if (passed != events || slow.events != whole.events ||
      slow.last_id != whole.last_id ||
      slow.bytes_since_event != whole.bytes_since_event) {
    std::abort();
  }
}

// Returns true if the text is one JSON value wherever it stands. A zero byte,
// or bytes of a byte order mark, mean something else inside a text than at its
// ends.
bool IsOneValue(const std::string& text) {
  constexpr std::string_view kMarkBytes = "\xef\xbb\xbf";
  rapidjson::Document json;
  return !text.empty() && text.find('\0') == std::string::npos &&
         kMarkBytes.find(text.front()) == std::string_view::npos &&
         ep::ParseAnswer(text, json);
}

// Whatever one item is, those beside it must be read, and all must be ordered.
void CheckItems(const std::vector<egretladder::routing::Item>& items) {
  if (items.size() < 2 || items.front().key != "servers/a" ||
      items.back().key != "servers/z") {
    std::abort();
  }
  for (const auto& item : items) {
    if (item.key.empty() || item.rev > kRevision) std::abort();
  }
}

void ReadOddItem(const std::string& text) {
  if (!IsOneValue(text)) return;
  const std::string items = R"([{"key":"servers/a","rev":3},)" + text +
                            R"(,{"key":"servers/z","rev":4}],)" +
                            R"("storeRevision":)" + std::to_string(kRevision) +
                            "}";
  const auto page = ep::ReadPage(R"({"items":)" + items);
  const auto changes = ep::ReadChanges(egretladder::routing::Feed::kEndpoints,
                                       R"({"events":)" + items);
  if (!page || !changes) std::abort();
  CheckItems(page.value().items);
  CheckItems(changes.value().items);
}

void ReadOddPart(const std::string& text) {
  if (!IsOneValue(text)) return;
  const auto kept = ep::ReadKeptParts(R"({"held":[["","1",2,"m"],)" + text +
                                      R"(,["","2",2,"m"]]})");
  if (!kept || kept->parts.size() < 2 || kept->parts.front() != 1 ||
      kept->parts.back() != 2) {
    std::abort();
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  if (size == 0) return 0;
  const std::string text(reinterpret_cast<const char*>(data) + 1, size - 1);
  switch (data[0] % kReaders) {
    case 0:
      ReadEntry(text);
      break;
    case 1:
      ReadId(text);
      break;
    case 2:
      (void)ep::ReadRules(text);
      break;
    case 3:
      (void)ep::ReadPage(text);
      break;
    case 4:
      (void)ep::ReadChanges(egretladder::routing::Feed::kEndpoints, text);
      break;
    case 5:
      (void)ep::ReadProcessStart(text);
      break;
    case 6:
      ReadAnswer(text);
      break;
    case 8:
      ReadOddItem(text);
      break;
    case 9:
      ReadOddPart(text);
      break;
    case 10:
      (void)ep::ReadKeptParts(text);
      break;
    default:
      SplitEvents(text);
      break;
  }
  return 0;
}
