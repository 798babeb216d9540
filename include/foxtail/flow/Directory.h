#ifndef foxtail_flow_Directory_h
#define foxtail_flow_Directory_h

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "foxtail/core/Event.h"
#include "foxtail/flow/Records.h"

namespace foxtail::flow {

// An upstream as this balancer knows it.
struct Upstream
{
  UpstreamRecord mRecord;
  Cookie mCookie = 0;
  // Another upstream with the same cookie was known first: no new flows here,
  // since their packets could not be told apart.
  bool mHasCookieConflict = false;
  // It is no longer published; its flows are still forwarded.
  bool mIsRemoved = false;
  TimePoint mRemovedAt;
  // It was taking new flows when its record went.
  bool mWasReadyWhenRemoved = false;
  TimePoint mWarmUpUntil;
};

// A replica of what is published, ordered by revision. It never goes back: an
// older record, from whichever source, changes nothing. Not thread-safe.
class Directory
{
public:
  Directory() = default;
  Directory(Directory&&) = default;
  Directory& operator=(Directory&&) = default;

  // A record that goes without a notice may be the publisher's mistake: live
  // upstreams publish themselves anew within this time.
  static constexpr milliseconds kRemovalGraceTime{ 2200 };
  // Longest life of a flow, after which nothing of a gone upstream is needed.
  static constexpr seconds kRemovedRetention{ 75 };

  // Takes an update and returns what changed, as events to be logged.
  std::vector<Event> Apply(TimePoint aNow,
                           const ReplicaUpdate& aUpdate,
                           const std::string& aSource);

  // Forgets upstreams that went long ago.
  void Expire(TimePoint aNow);

  // Everything that changed after aAfter, for a peer.
  ReplicaUpdate ChangesSince(TimePoint aNow, Revision aAfter) const;

  // The revision up to which everything is known, and when the publisher said
  // so.
  Revision ConfirmedRevision() const { return mConfirmed; }
  TimePoint ConfirmedAt() const { return mConfirmedAt; }
  // The revision of the newest change that matters here.
  Revision NewestRevision() const { return mNewest; }
  bool IsUsable() const { return mConfiguration && mHasFullListing; }

  // The route for this service address; null without one.
  const Route* FindRoute(const Address& aService) const;
  // The upstream that this cookie stands for; null when it was never given.
  const Upstream* FindUpstream(Cookie aCookie) const;
  // Upstreams of a service that are not forgotten yet.
  const std::vector<Cookie>& UpstreamsOf(const std::string& aService) const;
  // Whether new flows may go to this upstream.
  static bool TakesNewFlows(const Upstream& aUpstream, TimePoint aNow);

  const std::optional<Configuration>& CurrentConfiguration() const
  {
    return mConfiguration;
  }
  const std::map<std::string, Upstream>& Upstreams() const
  {
    return mUpstreams;
  }

private:
  void ApplyUpstream(TimePoint aNow,
                     const UpstreamRecord& aRecord,
                     bool aHasEveryChange,
                     const std::string& aSource);
  void ApplyRemoval(TimePoint aNow, const RemovedRecord& aRecord);
  void ApplyConfiguration(const Configuration& aConfiguration,
                          const std::string& aSource);
  void RemoveUnlisted(TimePoint aNow, const ReplicaUpdate& aUpdate);
  void RebuildIndexes();
  // Whatever happened at this revision is part of the replica already.
  bool IsApplied(Revision aRevision) const;

  std::map<std::string, Upstream> mUpstreams;
  // Into mUpstreams, whose entries stay where they are.
  std::unordered_map<Cookie, const Upstream*> mByCookie;
  std::map<std::string, std::vector<Cookie>> mByService;
  std::optional<Configuration> mConfiguration;
  std::map<Address, size_t> mRoutes;
  Revision mConfirmed = 0;
  Revision mNewest = 0;
  // Removals at or before this revision are no longer remembered.
  Revision mPrunedRevision = 0;
  TimePoint mConfirmedAt;
  bool mHasFullListing = false;
  bool mChanged = false;
  std::vector<Event> mEvents;
};

// The cookie of an upstream, the same at every balancer.
Cookie
CookieOf(uint64_t aInstance);

} // namespace foxtail::flow

#endif
