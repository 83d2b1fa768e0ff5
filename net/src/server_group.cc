#include "egretladder/net/server_group.h"

#include <algorithm>
#include <utility>

#include "http_connection_p.h"

namespace egretladder::net {

ServerGroup::ServerGroup(kernel::Loop& loop, UnreadPatience patience)
    : loop_(loop), patience_(std::move(patience)) {}

void ServerGroup::CountUnread(std::size_t added, std::size_t gone) {
  unread_bytes_ += added - gone;
  if (added == 0 || is_check_due_ || !patience_ || !patience_(unread_bytes_))
    return;
  // The connection may be one whose call is writing at this moment.
  is_check_due_ = true;
  timer_ = kernel::RunAfter(loop_, std::chrono::milliseconds(0),
                            [this] { CloseUnread(); });
}

void ServerGroup::CountIncomplete(std::size_t added, std::size_t gone) {
  incomplete_bytes_ += added - gone;
}

// What a connection leaves unread counts by its size and by how long nothing of
// it was taken: a large answer on a slow link isn't worse than many small ones
// that nobody reads. Without patience it may also be one that reads, if all do.
// A request that is with an endpoint isn't given up for the answer before it.
HttpConnection* ServerGroup::FindUnread(
    std::chrono::milliseconds patience) const {
  const kernel::Time now = kernel::Now(loop_.clock);
  const std::chrono::milliseconds min_time =
      std::max(patience, kMaxReadingPause);
  HttpConnection* worst = nullptr;
  HttpConnection* longest = nullptr;
  double worst_weight = 0;
  for (HttpConnection* connection : with_output_) {
    if (connection->HasUnbegunCall()) continue;
    const auto time = connection->TimeWithoutProgress(now);
    const double weight = static_cast<double>(connection->UnsentBytes()) *
                          static_cast<double>(time.count());
    if (time >= min_time && (worst == nullptr || weight > worst_weight)) {
      worst = connection;
      worst_weight = weight;
    }
    if (longest == nullptr || time > longest->TimeWithoutProgress(now))
      longest = connection;
  }
  return worst == nullptr && patience.count() == 0 ? longest : worst;
}

void ServerGroup::CloseUnread() {
  const auto self = shared_from_this();
  is_check_due_ = false;
  std::optional<std::chrono::milliseconds> patience;
  while (patience_ && (patience = patience_(unread_bytes_))) {
    HttpConnection* connection = FindUnread(*patience);
    if (connection == nullptr) {
      // Their patience ends later.
      is_check_due_ = true;
      timer_ = kernel::RunAfter(loop_, kHttpSweepInterval,
                                [this] { CloseUnread(); });
      return;
    }
    ++closed_unread_;
    connection->Close();
  }
}

}  // namespace egretladder::net
