#include "egretladder/routing/stream_records.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>
#include <string>

#include "egretladder/routing/member_gossip.h"
#include "egretladder/routing/member_suspicion.h"
#include "egretladder/routing/software_version.h"

using namespace std::chrono_literals;
namespace er = egretladder::routing;

namespace {

constexpr er::Time kStart{std::chrono::hours(1)};
// When the nodes have started.
constexpr er::Time kEarlier = kStart - 1h;
constexpr er::UnixTime kUnixStart{1'800'000'000'000};

er::EndpointEntry MakeEntry(const std::string& id, const std::string& version,
                            const std::string& service = "engines") {
  er::EndpointEntry entry;
  entry.id = id;
  entry.service = service;
  entry.software_version = version;
  return entry;
}

er::Member MakeMember(std::size_t number) {
  er::Member member;
  member.node = "n" + std::to_string(number);
  member.peers = member.node + ":90";
  member.zone = std::string(1, static_cast<char>('a' + number % 3));
  member.incarnation = 1;
  member.started = kEarlier;
  return member;
}

// What node `self` knows of a fleet of which it lacks the nodes in `missing`.
er::Members MakeView(std::size_t self, std::size_t nodes,
                     const std::set<std::size_t>& missing = {}) {
  er::Members members = er::MakeMembers(MakeMember(self), {"n0:90"}, kEarlier);
  er::MemberGossip gossip;
  for (std::size_t i = 0; i < nodes; ++i)
    if (i != self && !missing.contains(i))
      gossip.members.push_back(MakeMember(i));
  er::ApplyMemberGossip(members, gossip, kStart);
  return members;
}

std::set<std::string> HomesIn(const er::Members& members, er::StreamKey stream,
                              std::size_t count) {
  std::set<std::string> nodes;
  for (const er::Member& home : er::HomesOfStream(members, stream, count))
    nodes.insert(home.node);
  return nodes;
}

// What a node knows that started at the same time as its peers, whose clocks
// differ from its own by `offset`.
er::Members MakeStartedTogether(std::chrono::milliseconds offset) {
  er::Member self = MakeMember(0);
  self.incarnation = static_cast<std::uint64_t>(kUnixStart.count());
  er::Members members = er::MakeMembers(self, {"n0:90"}, kStart);
  er::MemberGossip gossip;
  for (std::size_t i = 1; i < 7; ++i) {
    gossip.members.push_back(MakeMember(i));
    gossip.members.back().incarnation =
        static_cast<std::uint64_t>((kUnixStart + offset).count());
    gossip.members.back().started = kStart;
  }
  er::ApplyMemberGossip(members, gossip, kStart);
  return members;
}

// All other nodes count as silent.
void SilenceAllBut(er::Members& members, const std::set<std::string>& running) {
  for (auto& [name, known] : members.others)
    if (!running.contains(name)) er::SuspectMember(members, known, kStart);
  er::UpdateSilentMembers(members, kStart + 1min);
}

}  // namespace

TEST_GROUP(StreamRecords) {
  er::StreamRecords records;
  er::EndpointSet set;

  void setup() override { records.known_since = kStart - 1h; }
  bool Several(er::Time now) const {
    return er::WasServedAtSeveralVersions(records, "engines", now);
  }
};

// Guards against a home that a zone takes along with the node that began the
// stream, and against nodes whose views differ and who ask others.
TEST(StreamRecords, AHomeIsAskedAfterAZoneWasLost) {
  constexpr std::size_t kNodes = 390;
  std::set<std::size_t> lost;
  for (std::size_t i = 0; i < kNodes; i += 3) lost.insert(i);
  const er::Members writer = MakeView(0, kNodes);
  const er::Members asker = MakeView(1, kNodes, lost);
  const std::size_t homes = er::CountHomes(writer);
  LONGS_EQUAL(er::kStreamHomes, homes);
  for (er::StreamKey stream = 1; stream <= 300; ++stream) {
    std::size_t found = 0;
    for (const std::string& node :
         HomesIn(asker, stream, er::kStreamHomesToAsk))
      found += HomesIn(writer, stream, homes).count(node);
    CHECK(found >= 1);
  }
}

// Guards against streams that most nodes keep, or few.
TEST(StreamRecords, HomesAreSpreadEvenly) {
  constexpr std::size_t kNodes = 390;
  constexpr std::size_t kStreams = 3900;
  const er::Members members = MakeView(0, kNodes);
  std::map<std::string, std::size_t> kept;
  for (er::StreamKey stream = 1; stream <= kStreams; ++stream)
    for (const std::string& node : HomesIn(members, stream, er::kStreamHomes))
      ++kept[node];
  const std::size_t mean = kStreams * er::kStreamHomes / kNodes;
  for (const auto& [node, count] : kept) CHECK(count < 3 * mean);
  CHECK(kept.size() > kNodes * 9 / 10);
}

// Guards against streams that nobody knows after the only nodes that ran while
// most others stood still were killed together.
TEST(StreamRecords, HomesThatStandStillGetRecordsToo) {
  for (const std::size_t nodes : {std::size_t{7}, std::size_t{1170}}) {
    er::Members members = MakeView(0, nodes);
    SilenceAllBut(members, {"n0", "n1"});
    for (er::StreamKey stream = 1; stream <= 50; ++stream) {
      std::size_t silent = 0;
      for (const er::Member& home : er::HomesToWriteTo(members, stream))
        if (home.node != "n0" && home.node != "n1") ++silent;
      CHECK(silent >= 1);
      CHECK(silent <= er::CountHomes(members));
    }
  }
}

// Guards against records for nodes that have ended or leave, and against fewer
// homes among those that run.
TEST(StreamRecords, HomesThatRunAreTheSameBesideSilentOnes) {
  er::Members members = MakeView(0, 7);
  SilenceAllBut(members, {"n0", "n1", "n2"});
  members.others.at("n3").unreachable = true;
  members.others.at("n4").member.state.leaving = true;
  for (er::StreamKey stream = 1; stream <= 50; ++stream) {
    std::set<std::string> written;
    for (const er::Member& home : er::HomesToWriteTo(members, stream))
      CHECK(written.insert(home.node).second);
    for (const std::string& node :
         HomesIn(members, stream, er::CountHomes(members)))
      CHECK(written.contains(node));
    CHECK_FALSE(written.contains("n3"));
    CHECK_FALSE(written.contains("n4"));
  }
}

// Guards against records at a home that isn't asked once it goes on.
TEST(StreamRecords, AHomeThatStoodStillIsAskedWhenItGoesOn) {
  er::Members writer = MakeView(0, 7);
  SilenceAllBut(writer, {"n0", "n1"});
  er::Members asker = MakeView(2, 7);
  for (er::StreamKey stream = 1; stream <= 50; ++stream) {
    const auto asked = HomesIn(asker, stream, er::kStreamHomesToAsk);
    std::size_t found = 0;
    for (const er::Member& home : er::HomesToWriteTo(writer, stream))
      if (home.node != "n0" && home.node != "n1")
        found += asked.count(home.node);
    CHECK(found >= 1);
  }
}

// Guards against a node that stops and keeps streams for others.
TEST(StreamRecords, ANodeThatLeavesIsNoHome) {
  er::Members members = MakeView(2, 7);
  members.self.state.leaving = true;
  for (er::StreamKey stream = 1; stream <= 50; ++stream)
    CHECK_FALSE(HomesIn(members, stream, 7).contains("n2"));
}

// Guards against one account that reads or overwrites another one's streams.
TEST(StreamRecords, KeysDifferByAccount) {
  CHECK(er::KeyOfStream("t1", "r") != er::KeyOfStream("t2", "r"));
  CHECK(er::KeyOfStream("t1", "r") != er::KeyOfStream("t1", "s"));
  CHECK(er::KeyOfStream("", "t1r") != er::KeyOfStream("t1", "r"));
}

// Guards against memory that grows with the streams of a long rollout.
TEST(StreamRecords, TheNumberOfStreamsIsBounded) {
  for (er::StreamKey stream = 1; stream <= 5 * er::kMaxNewerStreams; ++stream)
    er::RememberStream(records, {stream, 7}, kStart);
  CHECK(er::AllStreams(records).size() <= 2 * er::kMaxNewerStreams);
  CHECK(er::FindSource(records, 5 * er::kMaxNewerStreams).version == 7);
}

// Guards against records that outlive their streams, and against those that are
// forgotten before.
TEST(StreamRecords, AStreamIsRememberedForItsTime) {
  er::RememberStream(records, {1, 7}, kStart);
  er::Time now = kStart;
  for (; now < kStart + er::kStreamRetention; now += 1s) {
    er::ObserveVersions(records, set, now);
    CHECK(er::FindSource(records, 1).version == 7);
  }
  for (; now < kStart + 3 * er::kStreamRetention; now += 1s)
    er::ObserveVersions(records, set, now);
  CHECK(er::FindSource(records, 1).version == er::kUnknownVersion);
}

// Guards against a version whose last endpoint is gone while its streams are
// still taken up.
TEST(StreamRecords, AVersionCountsForAWhileAfterItsLastEndpoint) {
  er::OnEntryPublished(set, MakeEntry("a", "v1"), kStart);
  CHECK_FALSE(er::ObserveVersions(records, set, kStart));
  CHECK_FALSE(Several(kStart));
  er::OnEntryPublished(set, MakeEntry("b", "v2"), kStart);
  CHECK_TRUE(er::ObserveVersions(records, set, kStart));
  CHECK_FALSE(er::ObserveVersions(records, set, kStart + 1s));
  er::OnEntryRemoved(set, "a", false, kStart + 1s);
  er::ObserveVersions(records, set, kStart + 2s);
  CHECK_TRUE(Several(kStart + er::kStreamRetention));
  CHECK_FALSE(Several(kStart + er::kStreamRetention + 2s));
}

// Guards against versions of other services that make streams be looked up.
TEST(StreamRecords, VersionsCountPerService) {
  er::OnEntryPublished(set, MakeEntry("a", "v1"), kStart);
  er::OnEntryPublished(set, MakeEntry("b", "v2", "other"), kStart);
  er::ObserveVersions(records, set, kStart);
  CHECK_FALSE(Several(kStart));
}

// Guards against a node that has just started, was cut off or stood still, and
// takes what it sees for all that served.
TEST(StreamRecords, ANodeDoesNotKnowWhatItMissed) {
  records.known_since = kStart;
  er::KeepKnowledge(records, true, {.known = 5}, kStart + 1s);
  CHECK(*er::KnowledgeOf(records, "engines", kStart + 1s, kStart + 1s).since ==
        kStart);
  er::KeepKnowledge(records, false, {.known = 6}, kStart + 2s);
  er::KeepKnowledge(records, true, {.known = 7}, kStart + 3s);
  CHECK(*er::KnowledgeOf(records, "engines", kStart + 3s, kStart + 3s).since ==
        kStart + 2s);
}

TEST(StreamRecords, KnowsTheOnlyVersionOfAService) {
  const er::EndpointEntry old_entry = MakeEntry("a", "v1");
  CHECK(er::KnowledgeOf(records, "engines", kStart, kStart).only ==
        er::kUnknownVersion);
  er::OnEntryPublished(set, old_entry, kStart);
  er::ObserveVersions(records, set, kStart);
  const er::VersionKnowledge one =
      er::KnowledgeOf(records, "engines", kStart, kStart);
  CHECK(one.only == er::VersionOf(old_entry));
  CHECK_FALSE(one.several);
  er::OnEntryPublished(set, MakeEntry("b", "v2"), kStart);
  er::ObserveVersions(records, set, kStart);
  CHECK_TRUE(er::KnowledgeOf(records, "engines", kStart, kStart).several);
}

// Guards against streams that are refused after half of the nodes were killed,
// all their homes among them.
TEST(StreamRecords, NodesThatHaveRunAreAskedIfNoHomeHas) {
  constexpr er::Time kBegan = kStart - 5s;
  for (er::StreamKey stream = 1; stream <= 50; ++stream) {
    er::Members members = MakeView(0, 40);
    const auto homes =
        er::HomesOfStream(members, stream, er::kStreamHomesToAsk);
    LONGS_EQUAL(homes.size(), er::NodesToAsk(members, stream, kBegan).size());
    for (const er::Member& home : homes) {
      const auto at = members.others.find(home.node);
      if (at != members.others.end()) at->second.member.started = kStart;
    }
    members.self.started = kStart;
    const auto nodes = er::NodesToAsk(members, stream, kBegan);
    LONGS_EQUAL(homes.size() + er::kWitnessesToAsk, nodes.size());
    CHECK(nodes.back().started == kEarlier);
  }
}

// Guards against a choice between two versions whose endpoints keep the same
// part, whichever was told last.
TEST(StreamRecords, APartKeptAtSeveralVersionsTellsNone) {
  const er::PartKey part = er::KeyOfPart("engines", 7);
  CHECK(er::FindPartVersion(records, part) == er::kUnknownVersion);
  er::RememberPart(records, part, 1, kStart);
  er::RememberPart(records, part, 1, kStart);
  CHECK(er::FindPartVersion(records, part) == 1);
  er::RememberPart(records, part, 2, kStart);
  er::RememberPart(records, part, 1, kStart);
  CHECK(er::FindPartVersion(records, part) == er::kSeveralVersions);
  CHECK(er::FindPartVersion(records, er::KeyOfPart("others", 7)) ==
        er::kUnknownVersion);
}

// Guards against two nodes that know one version each of the same part.
TEST(StreamRecords, NodesThatDifferAboutAPartTellNone) {
  CHECK(er::MergePartVersions(er::kUnknownVersion, 1) == 1);
  CHECK(er::MergePartVersions(1, er::kUnknownVersion) == 1);
  CHECK(er::MergePartVersions(1, 2) == er::kSeveralVersions);
  CHECK(er::MergePartVersions(er::kSeveralVersions, 1) == er::kSeveralVersions);
}

// Guards against a doubt that ends although another version served of late.
TEST(StreamRecords, AVersionIsInDoubtUntilAllAreKnownSinceTheBegin) {
  records.known_since = kStart;
  CHECK(er::IsVersionInDoubt(records, "engines", kStart - 1s, kStart));
  CHECK_FALSE(er::IsVersionInDoubt(records, "engines", kStart + 1s, kStart));
  records.by_service["engines"].last_served = {{1, kStart}, {2, kStart}};
  CHECK(er::IsVersionInDoubt(records, "engines", kStart + 1s, kStart));
}

// Guards against endpoints that are asked for what a living node knows.
TEST(StreamRecords, OneOlderNodeHasRunSince) {
  er::Members members = MakeView(0, 3);
  CHECK(er::HasRunSince(members, kEarlier));
  CHECK_FALSE(er::HasRunSince(members, kEarlier - 1ms));
}

// Guards against one node that counts as a witness of all streams, though the
// homes of most of them have started anew.
TEST(StreamRecords, HomesMayBeLostThoughANodeHasRun) {
  er::Members members = er::MakeMembers(MakeMember(0), {"n0:90"}, kEarlier);
  er::MemberGossip gossip;
  for (std::size_t i = 1; i < 7; ++i) {
    gossip.members.push_back(MakeMember(i));
    gossip.members.back().started =
        i < er::kStreamHomesInSmallFleet ? kStart : kEarlier;
  }
  er::ApplyMemberGossip(members, gossip, kStart);
  CHECK_FALSE(er::MayHaveLostHomes(members, kStart - 5s));
  members.self.started = kStart;
  CHECK(er::MayHaveLostHomes(members, kStart - 5s));
  CHECK(er::HasRunSince(members, kStart - 5s));
}

// Guards against engines that nobody asks after a start of all nodes, since
// peers whose clocks are behind are taken for nodes that lived through it.
TEST(StreamRecords, PeersWhoseClocksAreBehindHaveNotRunSince) {
  for (const auto offset : {-9s, 0s, 9s}) {
    const er::Members members = MakeStartedTogether(offset);
    CHECK(er::MayHaveLostHomes(members, kStart - 5s));
    CHECK_FALSE(er::HasRunSince(members, kStart - 5s));
  }
}

// Guards against streams that are refused since a peer that knows their version
// isn't asked, as its clock is ahead.
TEST(StreamRecords, PeersWhoseClocksAreAheadHaveRunSince) {
  for (const auto offset : {-9s, 0s, 9s}) {
    const er::Members members = MakeStartedTogether(offset);
    CHECK_FALSE(er::MayHaveLostHomes(members, kStart + 5s));
    CHECK(er::HasRunSince(members, kStart + 5s));
  }
}

// Guards against a peer whose age is unknown, as a node of an earlier version
// doesn't tell it, and which counts as one that has run.
TEST(StreamRecords, APeerOfUnknownAgeHasNotRunSince) {
  er::Members members = MakeView(0, 3);
  members.self.started = kStart;
  for (auto& [node, known] : members.others)
    known.member.started = er::Member{}.started;
  CHECK_FALSE(er::HasRunSince(members, kStart - 5s));
  CHECK(er::MayHaveLostHomes(members, kStart - 5s));
}

// Guards against a record that was late, or came through a node that stood
// still, and makes a peer younger than another record showed.
TEST(StreamRecords, TheEarliestStartOfAPeerCounts) {
  er::Members members = MakeView(0, 1);
  er::Member peer = MakeMember(1);
  for (const er::Time started : {kStart - 2s, kStart - 9s, kStart - 1s}) {
    peer.started = started;
    er::ApplyMemberGossip(members, {.members = {peer}}, kStart);
  }
  CHECK(members.others.at("n1").member.started == kStart - 9s);
  ++peer.incarnation;
  er::ApplyMemberGossip(members, {.members = {peer}}, kStart);
  CHECK(members.others.at("n1").member.started == kStart - 1s);
}

// Guards against an endpoint that two nodes ask, or none.
TEST(StreamRecords, OneOfTheNodesThatHaveStartedIsFirst) {
  constexpr std::size_t kNodes = 6;
  for (std::uint64_t key = 0; key < 50; ++key) {
    int first = 0;
    for (std::size_t self = 0; self < kNodes; ++self) {
      const er::Members members = MakeView(self, kNodes);
      if (er::IsFirstStartedSince(members, kEarlier - 1ms, key)) ++first;
      CHECK_FALSE(er::IsFirstStartedSince(members, kEarlier, key));
    }
    LONGS_EQUAL(1, first);
  }
}

// Guards against homes that are sorted in another order than nodes of before.
TEST(StreamRecords, MoreHomesBeginWithTheSameOnes) {
  const er::Members members = MakeView(0, 9);
  for (er::StreamKey stream = 1; stream < 50; ++stream) {
    const auto two = er::HomesOfStream(members, stream, 2);
    const auto four = er::HomesOfStream(members, stream, 4);
    LONGS_EQUAL(2, two.size());
    LONGS_EQUAL(4, four.size());
    for (std::size_t i = 0; i < 2; ++i)
      STRCMP_EQUAL(two[i].node.c_str(), four[i].node.c_str());
    CHECK(two[0].zone != two[1].zone);
  }
}

// Guards against a tick whose work grows with the endpoints: a pass over them
// would meet the one that isn't there.
TEST(StreamRecords, ATickPassesOverNoEndpoint) {
  er::OnEntryPublished(set, MakeEntry("a", "v1"), kStart);
  set.by_service["engines"].push_back(nullptr);
  set.by_id["none"] = nullptr;
  er::ObserveVersions(records, set, kStart);
  CHECK(er::RemoveLapsedEndpoints(set, kStart).empty());
}

// Guards against a version that counts on after its last endpoint has changed.
TEST(StreamRecords, AVersionEndsWhenItsEndpointsChange) {
  er::OnEntryPublished(set, MakeEntry("a", "v1"), kStart);
  er::OnEntryPublished(set, MakeEntry("b", "v1"), kStart);
  er::OnEntryPublished(set, MakeEntry("a", "v2"), kStart);
  er::OnEntryPublished(set, MakeEntry("b", "v2"), kStart);
  er::ObserveVersions(records, set, kStart);
  CHECK_FALSE(Several(kStart));
}

// Guards against a node that takes what it knew a moment ago for what serves
// now.
TEST(StreamRecords, KnowledgeIsConfirmedUpToTheLastRead) {
  er::KeepKnowledge(records, false, {}, kStart);
  const auto confirmed_since = [this](er::Time asked_at) {
    return er::KnowledgeOf(records, "engines", asked_at, kStart + 9s)
        .confirmed_since;
  };
  CHECK_FALSE(confirmed_since(kStart + 1s).has_value());
  er::ConfirmKnowledge(records, kStart + 2s);
  CHECK(confirmed_since(kStart + 1s) == kStart);
  CHECK(confirmed_since(kStart + 2s) == kStart);
  CHECK_FALSE(confirmed_since(kStart + 3s).has_value());
}

// Guards against a node that joins what two nodes know though neither knows
// what happened in between.
TEST(StreamRecords, APeerLeadsUpToWhatThisNodeHasKnownSince) {
  CHECK_FALSE(er::LeadsUpTo(records, {.known = 9}));
  er::KeepKnowledge(records, false, {}, kStart);
  er::KeepKnowledge(records, true, {.known = 5}, kStart + 1s);
  CHECK_FALSE(er::LeadsUpTo(records, {.known = 4}));
  CHECK_TRUE(er::LeadsUpTo(records, {.known = 5}));
  CHECK_FALSE(er::LeadsUpTo(records, {.known = 5, .era = 1}));
  er::KeepKnowledge(records, true, {.known = 8}, kStart + 2s);
  CHECK_TRUE(er::LeadsUpTo(records, {.known = 5}));
  er::KeepKnowledge(records, false, {.known = 9}, kStart + 3s);
  CHECK_FALSE(er::LeadsUpTo(records, {.known = 8}));
}

// Guards against an endpoint that hasn't told what it keeps, taken for one that
// doesn't keep a part.
TEST(StreamRecords, EachListOfAnotherVersionIsNeeded) {
  const auto are_in = [this](const std::string& version) {
    return er::AreListsOfOthersIn(records, set, "engines",
                                  er::VersionOf(MakeEntry("", version)));
  };
  CHECK(are_in("v1"));
  for (const auto& entry :
       {MakeEntry("a", "v1"), MakeEntry("b", "v2"), MakeEntry("c", "v2"),
        MakeEntry("d", "v3", "other")}) {
    er::OnEntryPublished(set, entry, kStart);
  }
  const auto list_comes = [this](const er::EndpointEntry& entry) {
    er::RememberPart(records, er::KeyOfList(entry), er::VersionOf(entry),
                     kStart);
  };
  list_comes(MakeEntry("b", "v2"));
  CHECK_FALSE(are_in("v1"));
  CHECK_FALSE(are_in("v2"));
  list_comes(MakeEntry("c", "v2"));
  CHECK(are_in("v1"));
  CHECK_FALSE(are_in("v2"));
}

// Guards against the list of a process that counts for the one after it.
TEST(StreamRecords, AListIsThatOfOneProcess) {
  er::EndpointEntry entry = MakeEntry("a", "v1");
  const er::PartKey before = er::KeyOfList(entry);
  entry.started_unix_ms = 2;
  CHECK(er::KeyOfList(entry) != before);
  CHECK(er::KeyOfList(entry) != er::KeyOfPart("engines", 2));
}

// Guards against a node that vouches for a part though others are told of it.
TEST(StreamRecords, ANodeKnowsWhetherItIsAHome) {
  const er::Members members = MakeView(0, 9);
  for (er::StreamKey stream = 1; stream < 50; ++stream) {
    const std::size_t homes = er::CountHomes(members);
    LONGS_EQUAL(HomesIn(members, stream, homes).contains("n0"),
                er::IsHome(members, stream));
  }
}

// Guards against memory that a peer fills with long names.
TEST(StreamRecords, AStepInDoubtOfALongNameIsNotRemembered) {
  er::StreamRecords records;
  const std::string longest(er::kMaxDoubtSourceBytes, 'a');
  er::RememberDoubt(records, 7, {.from = 3, .to = 5, .source = longest},
                    kStart);
  er::RememberDoubt(records, 8, {.from = 3, .to = 5, .source = longest + "a"},
                    kStart);
  CHECK(er::FindDoubt(records, 7).has_value());
  CHECK_FALSE(er::FindDoubt(records, 8).has_value());
}

TEST(StreamRecords, TheLastStepInDoubtOfAStreamIsRememberedForAWhile) {
  er::StreamRecords records;
  er::RememberDoubt(records, 7, {.from = 3, .to = 5, .source = "a"}, kStart);
  er::RememberDoubt(records, 7, {.from = 4, .to = 6, .source = "b"}, kStart);
  LONGS_EQUAL(4, er::FindDoubt(records, 7)->from);
  CHECK_FALSE(er::FindDoubt(records, 8).has_value());
  for (int i = 1; i <= 2; ++i) {
    er::RememberDoubt(records, 8, {.from = 1, .to = 3, .source = "a"},
                      kStart + i * er::kStreamRetention);
  }
  CHECK_FALSE(er::FindDoubt(records, 7).has_value());
}
