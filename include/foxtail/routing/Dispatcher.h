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
  // Seeds every random choice; balancers should differ.
  uint64_t mSeed = 1;
  // A request that would wait longer for a slot than this is refused.
  milliseconds mMaxWait{ 250 };
  // What LocalLoads advertises: only requests that have become long, which
  // change slowly, or every one in flight.
  bool mAdvertiseOnlyLong = true;
  // Take the slots that are shared out to this balancer first.
  bool mPreferOwnSlots = true;
};

// Schedules the requests of one balancer: picks the upstream of each, holds
// back what no upstream has a free slot for, refuses what it cannot serve in
// time, and ends what passes its deadline. Does no I/O; not thread-safe.
//
// Each submitted request ends in exactly one way: Finish without a retry,
// Cancel, RefuseWork or ExpireWork. Time must not go backwards from call to
// call.
class Dispatcher
{
public:
  explicit Dispatcher(const DispatcherSettings& aSettings);
  ~Dispatcher();

  // The accepted configuration. Indexes in later calls and actions refer to
  // it; those of actions not yet carried out must be translated by the
  // caller. Work that waits for a removed upstream is bound anew; work that
  // waits for a removed service is refused at the next Tick. Work that runs
  // at a removed upstream goes on; if it expires, the ExpireWork names
  // kNoIndex.
  void SetSnapshot(config::SnapshotPtr aSnapshot, TimePoint aNow);

  // The incarnations of all balancers that share the upstreams, this one's
  // included.
  void SetBalancers(const std::vector<uint64_t>& aIncarnations, uint64_t aOwn);

  // What the upstream's own endpoint says. Unknown upstreams are ignored.
  void OnReport(const LoadReport& aReport, TimePoint aNow);

  // What a peer's LocalLoads said; replaces what the peer said before.
  void OnPeerLoads(uint64_t aIncarnation,
                   const std::vector<LoadReport>& aLoads,
                   TimePoint aNow);

  // Forgets a peer that left or died.
  void OnPeerGone(uint64_t aIncarnation);

  // What peers need to know of this balancer's requests. Upstreams that are
  // absent have none.
  std::vector<LoadReport> LocalLoads(TimePoint aNow) const;

  // Changes whenever LocalLoads does, so that it is sent no more often than
  // it changes.
  uint64_t LoadsRevision() const;

  // Takes a request. Answers at once or later with SendWork or RefuseWork; a
  // refusal for overload is given at once. When mBoundUpstream is set, the
  // SendWork names that upstream unless it was ejected or removed.
  void Submit(const Work& aWork, TimePoint aNow, WorkActions& aActions);

  // The upstream ended a request that was sent to it. True when the request
  // goes on: it was shed and is tried elsewhere. Unknown serial numbers are
  // ignored.
  bool Finish(uint32_t aSerial,
              Outcome aOutcome,
              TimePoint aNow,
              WorkActions& aActions);

  // The caller gave the request up. One that was sent gets an ExpireWork, so
  // that it is cancelled at the upstream.
  void Cancel(uint32_t aSerial, TimePoint aNow, WorkActions& aActions);

  // Does what is due. Call it at NextTick or later.
  void Tick(TimePoint aNow, WorkActions& aActions);

  // When Tick has something to do; empty when nothing waits or runs.
  std::optional<TimePoint> NextTick() const;

  // Requests that this balancer runs at an upstream.
  uint32_t InFlight(config::UpstreamIndex aUpstream) const;
  // Requests of a service that wait here, for any or for one upstream.
  uint32_t Queued(config::ServiceIndex aService) const;
  // Refusals since the start, by reason.
  uint64_t Refusals(RefusalReason aReason) const;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace foxtail::routing

#endif
