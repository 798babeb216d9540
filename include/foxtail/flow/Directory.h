#ifndef foxtail_flow_Directory_h
#define foxtail_flow_Directory_h

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "foxtail/core/Event.h"
#include "foxtail/flow/EvacuationState.h"
#include "foxtail/flow/Records.h"

namespace foxtail::flow {

// An upstream as known to this balancer.
struct Upstream
{
  UpstreamRecord mRecord;
  Cookie mCookie = 0;
  // An upstream that held the cookie before this one has the same cookie, and
  // packets with the cookie go to that upstream. This upstream gets no new
  // flows until the other one is no longer known, also as a removed one.
  bool mHasCookieConflict = false;
  // Its failure domain is being evacuated. Open flows are still forwarded.
  bool mIsEvacuated = false;
  // The record is no longer published. Open flows are still forwarded.
  bool mIsRemoved = false;
  // Revision of the removal; mRecord keeps the one that it had before.
  Revision mRemovedRevision = 0;
  TimePoint mRemovedAt;
  // The state was Ready when the record was removed.
  bool mWasReadyWhenRemoved = false;
  TimePoint mWarmUpUntil;

  // The revision of the newest change of the record, its removal included.
  Revision LatestRevision() const
  {
    return mIsRemoved ? mRemovedRevision : mRecord.mRevision;
  }
};

// Local replica of the published upstream and configuration records. Records
// are only replaced by newer revisions; older ones are ignored, whatever their
// source. Not thread-safe.
class Directory
{
public:
  Directory() = default;
  Directory(Directory&&) = default;
  Directory& operator=(Directory&&) = default;

  // Time for which an upstream whose record was removed while it was ready
  // still takes new flows. The removal may be a fault of the publisher; a live
  // upstream publishes its record again within this time.
  static constexpr milliseconds kRemovalGraceTime{ 2200 };
  // Time for which removed upstreams are kept. It is the longest lifetime of a
  // flow; afterwards no packet for a removed upstream can arrive.
  static constexpr seconds kRemovedRetention{ 75 };

  // Applies an update and returns the changes as events to be logged, also
  // those of Expire since the last call. aSource names the origin of the update
  // in these events. Updates of an older era of the publisher are ignored, and
  // so are those of a newer one that are not full listings.
  std::vector<Event> Apply(TimePoint aNow,
                           const ReplicaUpdate& aUpdate,
                           const std::string& aSource);

  // Drops upstreams that were removed kRemovedRetention ago or earlier, and
  // ends evacuations that a restored publisher lacks when their time is over.
  void Expire(TimePoint aNow);

  // Returns the changes after revision aAfter for a peer. A removed upstream
  // that is still kept is returned with its record, because its open flows are
  // still forwarded. Returns a full listing if NeedsFullListing(aAfter).
  ReplicaUpdate ChangesSince(TimePoint aNow, Revision aAfter) const;
  // Whether changes after aAfter may be unknown here, or aAfter is zero: a peer
  // without a replica.
  bool NeedsFullListing(Revision aAfter) const
  {
    return aAfter == 0 || aAfter < mCompleteSince;
  }

  // The revision up to which the replica has all changes, and the time at which
  // the publisher confirmed this.
  Revision ConfirmedRevision() const { return mConfirmed; }
  TimePoint ConfirmedAt() const { return mConfirmedAt; }
  // Each change after this revision is known here, removals included. A peer
  // may take over the confirmation of this replica only if its own confirmed
  // revision is at least this one.
  Revision CompleteSince() const { return mCompleteSince; }
  // Differs after each change of a record or of the configuration.
  using Version = std::pair<uint64_t, Revision>;
  Version CurrentVersion() const { return { mChangeCount, mNewest }; }
  // Grows with each change of an upstream's record. References to upstreams are
  // valid until the next one.
  uint64_t ChangeCount() const { return mChangeCount; }
  // The revision of the newest change that balancing decisions depend on.
  Revision NewestRevision() const { return mNewest; }
  // Whether a configuration and a full listing of upstreams have been applied.
  bool IsUsable() const { return mConfiguration && mHasFullListing; }

  // Returns the route for a service address, or null if there is none.
  const Route* FindRoute(const Address& aService) const;
  // Returns the time until the callers of a route give up, by the route's id;
  // zero if it is unknown.
  milliseconds TimeoutOf(uint32_t aRoute) const;
  // Returns the upstream with this cookie, or null if none is known.
  const Upstream* FindUpstream(Cookie aCookie) const;
  // Returns the cookies of a service's upstreams, including removed ones that
  // are still kept, without those that have a cookie conflict.
  const std::vector<Cookie>& UpstreamsOf(const std::string& aService) const;
  // Returns the settings of a service; the defaults if the configuration has
  // none.
  ServiceSettings SettingsOf(const std::string& aService) const;
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
  const EvacuationState& Evacuations() const { return mEvacuations; }

private:
  // Whether the update belongs to the era of this replica or starts a newer
  // one.
  bool IsOfUsableEra(const ReplicaUpdate& aUpdate) const;
  void ApplyUpstream(TimePoint aNow,
                     const UpstreamRecord& aRecord,
                     const ReplicaUpdate& aUpdate,
                     const std::string& aSource);
  // Keeps an upstream as it is although a restored publisher has an older
  // record.
  void KeepAfterRestore(Upstream& aUpstream, Revision aRevision);
  // Learns the sequence number from a record that is known already.
  void UpdateSequence(const UpstreamRecord& aRecord);
  void ApplyRemoval(TimePoint aNow, const RemovedRecord& aRecord);
  void ApplyConfiguration(const Configuration& aConfiguration,
                          const std::string& aSource);
  void KeepUnknownRemoval(TimePoint aNow, const RemovedRecord& aRecord);
  void ApplyListing(TimePoint aNow, const ReplicaUpdate& aUpdate);
  void TakeConfirmation(TimePoint aNow, const ReplicaUpdate& aUpdate);
  void RemoveUnlisted(TimePoint aNow, const ReplicaUpdate& aUpdate);
  // Notes a change of this revision that balancing decisions depend on.
  void NoteChange(Revision aRevision);
  void ApplyEvacuations(TimePoint aNow,
                        const ReplicaUpdate& aUpdate,
                        bool aStartsEra);
  // Adds events for the differences between the active evacuations and those
  // that were active before.
  void LogEvacuations(TimePoint aNow,
                      const std::set<std::string>& aBefore,
                      const std::string& aSource);
  void LogEvacuation(TimePoint aNow,
                     const std::string& aDomain,
                     bool aHasStarted,
                     const std::string& aSource);
  void RebuildIndexes();
  // Whether the replica already contains the changes of this revision.
  bool IsApplied(Revision aRevision) const;

  struct UnknownRemoval
  {
    Revision mRevision = 0;
    TimePoint mRemovedAt;
  };

  std::map<std::string, Upstream> mUpstreams;
  // Removals of upstreams that were never seen here, by id. They are kept for
  // peers that may have seen the upstreams.
  std::map<std::string, UnknownRemoval> mUnknownRemovals;
  EvacuationState mEvacuations;
  // Points into mUpstreams, whose entries have stable addresses.
  std::unordered_map<Cookie, const Upstream*> mByCookie;
  std::map<std::string, std::vector<Cookie>> mByService;
  std::optional<Configuration> mConfiguration;
  // Indexes into the routes of mConfiguration.
  std::map<Address, size_t> mRoutes;
  std::unordered_map<uint32_t, milliseconds> mTimeouts;
  Revision mConfirmed = 0;
  Revision mNewest = 0;
  uint64_t mChangeCount = 0;
  // Raised by each full listing that brings changes, because removals before it
  // may be unknown here, and by removals that are dropped from the replica.
  Revision mCompleteSince = 0;
  TimePoint mConfirmedAt;
  bool mHasFullListing = false;
  bool mChanged = false;
  // Events to be returned by the next call of Apply.
  std::vector<Event> mEvents;
};

// Returns the id of a route in peer messages. It is the same in every process.
uint32_t
RouteId(const Address& aService);

// Returns the cookie of an upstream, which is the same on every balancer.
Cookie
CookieOf(uint64_t aInstance);

} // namespace foxtail::flow

#endif
