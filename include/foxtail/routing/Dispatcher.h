#ifndef foxtail_routing_Dispatcher_h
#define foxtail_routing_Dispatcher_h

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "foxtail/config/Model.h"
#include "foxtail/routing/Work.h"

namespace foxtail::routing {

struct DispatcherSettings
{
  // Seed of all random choices; each balancer should use a different one.
  uint64_t mSeed = 1;
  // A request that is expected to wait longer than this for a free slot is
  // refused.
  milliseconds mMaxWait{ 250 };
  // Whether LocalLoads counts only long requests (see ServiceTimes::LongAge),
  // whose number changes slowly, or every request in flight.
  bool mAdvertiseOnlyLong = true;
  // Use the slots assigned to this balancer (see SlotShare) before others.
  bool mPreferOwnSlots = true;
};

// Schedules the requests of one balancer. Chooses an upstream for each request,
// queues requests while no upstream has a free slot, refuses requests that
// cannot be served in time, and ends requests whose deadline has passed. A slot
// is one request that an upstream can run at a time. Does no I/O; not
// thread-safe.
//
// Each submitted request ends exactly once: when Finish returns false (with a
// RefuseWork if the request was shed), when Cancel is called (with an
// ExpireWork if the request was sent), or by a RefuseWork or ExpireWork from
// another call. aNow must not decrease from one call to the next.
class Dispatcher
{
public:
  explicit Dispatcher(const DispatcherSettings& aSettings);
  ~Dispatcher();

  // Applies a configuration. Indexes in later calls and actions refer to this
  // configuration; the calling code must translate the indexes of actions that
  // it has not carried out yet. A request that waits for a removed upstream
  // gets a new one; a request that waits for a removed service is refused at
  // the next Tick. A request that runs at a removed upstream goes on; if it
  // expires, its ExpireWork names kNoIndex.
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);

  // Sets the incarnations of all balancers that share the upstreams. aOwn is
  // this balancer's and may be missing in aIncarnations.
  void SetBalancers(const std::vector<uint64_t>& aIncarnations, uint64_t aOwn);

  // Takes a report from an upstream's load endpoint. Reports of unknown
  // upstreams are ignored.
  void OnReport(const LoadReport& aReport, TimePoint aNow);

  // Takes the loads that a peer advertises (its LocalLoads). They replace the
  // peer's earlier ones.
  void OnPeerLoads(uint64_t aIncarnation,
                   const std::vector<LoadReport>& aLoads,
                   TimePoint aNow);

  // Drops the loads of a peer that has left or failed.
  void OnPeerGone(uint64_t aIncarnation);

  // The loads to advertise to peers: this balancer's requests at each upstream.
  // Upstreams without such requests are left out.
  std::vector<LoadReport> LocalLoads(TimePoint aNow) const;

  // A number that changes whenever the result of LocalLoads changes. It lets
  // the calling code send loads to peers only after a change.
  uint64_t LoadsRevision() const;

  // Submits a request. This or a later call adds a SendWork or RefuseWork for
  // it to its actions; a refusal for overload is always added by this call.
  // When mBoundUpstream is set, the SendWork names that upstream unless it has
  // been ejected or removed. A request whose serial number is in use is
  // ignored.
  void Submit(const Work& aWork, TimePoint aNow, WorkActions& aActions);

  // Call when a request that was sent to an upstream has ended there. Returns
  // true when the request was shed and will be retried. Unknown serial numbers
  // are ignored.
  bool Finish(uint32_t aSerial,
              Outcome aOutcome,
              TimePoint aNow,
              WorkActions& aActions);

  // Call when the caller has abandoned the request. If the request was sent to
  // an upstream, an ExpireWork is added so that it is cancelled there.
  void Cancel(uint32_t aSerial, TimePoint aNow, WorkActions& aActions);

  // Runs all timers that are due. Call it at NextTick or later.
  void Tick(TimePoint aNow, WorkActions& aActions);

  // The time of the next timer; empty when no request waits or runs.
  std::optional<TimePoint> NextTick() const;

  // Number of this balancer's requests in flight at an upstream.
  uint32_t InFlight(config::UpstreamIndex aUpstream) const;
  // Number of requests of a service that wait in this balancer, for any
  // upstream or for a particular one.
  uint32_t Queued(config::ServiceIndex aService) const;
  // Number of refusals for this reason since the start.
  uint64_t Refusals(RefusalReason aReason) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace foxtail::routing

#endif
