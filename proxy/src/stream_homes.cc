// Records of streams and of kept parts of prompts, at the nodes that are their
// homes.
#include <algorithm>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "egretladder/routing/software_version.h"
#include "state_p.h"

namespace egretladder::proxy {
namespace {

// Records by the address of the node that keeps them.
using RecordsByHome = std::map<std::string, std::vector<routing::StreamRecord>>;

// Homes of parts vouch by the lists that all available nodes get, and homes of
// streams by their records alone.
std::vector<routing::Member> HomesOfRecord(
    const Proxy& proxy, RecordKind kind, const routing::StreamRecord& record) {
  if (kind == RecordKind::kStreams)
    return routing::HomesToWriteTo(proxy.members, record.stream);
  return routing::HomesOfStream(proxy.members, record.stream,
                                routing::CountHomes(proxy.members));
}

RecordsByHome SortByHome(const Proxy& proxy, RecordKind kind,
                         const std::vector<routing::StreamRecord>& records) {
  RecordsByHome by_home;
  for (const routing::StreamRecord& record : records) {
    for (const routing::Member& home : HomesOfRecord(proxy, kind, record)) {
      if (home.node != proxy.members.self.node)
        by_home[home.peers].push_back(record);
    }
  }
  return by_home;
}

void AddForAllPeers(const Proxy& proxy, const routing::StreamRecord& record,
                    RecordsByHome& by_home) {
  for (const auto& [name, zone] : proxy.members.zones) {
    for (const routing::KnownMember* known : zone.available)
      by_home[known->member.peers].push_back(record);
  }
}

// Each home gets few messages, which arrive in the order of its records.
void WriteByHome(Proxy& proxy, RecordKind kind, const RecordsByHome& by_home) {
  for (const auto& [address, own] : by_home) {
    for (std::size_t at = 0; at < own.size(); at += kMaxRecordsInMessage) {
      const std::size_t size = std::min(own.size() - at, kMaxRecordsInMessage);
      WriteRecords(proxy, address, kind, std::span(own).subspan(at, size));
    }
  }
}

void WriteStreamsToHomes(Proxy& proxy,
                         const std::vector<routing::StreamRecord>& records) {
  constexpr auto kKind = RecordKind::kStreams;
  WriteByHome(proxy, kKind, SortByHome(proxy, kKind, records));
}

}  // namespace

void RecordStream(Proxy& proxy, const routing::StreamRecord& record) {
  routing::RememberStream(proxy.streams, record, NowOf(proxy));
  WriteStreamsToHomes(proxy, {record});
}

void HandOnStreams(Proxy& proxy) {
  WriteStreamsToHomes(proxy, routing::AllStreams(proxy.streams));
}

void WritePartsToHomes(Proxy& proxy, const routing::EndpointEntry& entry,
                       const std::vector<std::uint64_t>& parts) {
  const Time now = NowOf(proxy);
  const routing::SoftwareVersion version = routing::VersionOf(entry);
  std::vector<routing::StreamRecord> records;
  for (const std::uint64_t part : parts)
    records.push_back({routing::KeyOfPart(entry.service, part), version});
  RecordsByHome by_home = SortByHome(proxy, RecordKind::kKeptParts, records);
  const routing::StreamRecord list{routing::KeyOfList(entry), version};
  // While one version serves, nobody waits for the lists of others. The list
  // follows its parts, so that whoever has it has them.
  if (routing::WasServedAtSeveralVersions(proxy.streams, entry.service, now))
    AddForAllPeers(proxy, list, by_home);
  records.push_back(list);
  for (const routing::StreamRecord& record : records)
    routing::RememberPart(proxy.streams, record.stream, record.version, now);
  WriteByHome(proxy, RecordKind::kKeptParts, by_home);
}

}  // namespace egretladder::proxy
