#ifndef foxtail_net_PeerMessages_h
#define foxtail_net_PeerMessages_h

#include <cstdint>
#include <string>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/membership/Gossip.h"
#include "foxtail/membership/View.h"

namespace foxtail::net {

// What a process has of the published documents; asks for everything newer.
struct ConfigRequest
{
  membership::ConfigProgress mProgress;
  uint64_t mVmsIndex = 0;
};

// Everything newer than what was asked with; empty parts are not newer.
struct ConfigReply
{
  membership::ConfigProgress mVersion;
  // A whole configuration, set when patches cannot bridge the gap.
  std::string mDocumentJson;
  // Published patches in published order.
  std::vector<std::string> mPatchesJson;
  std::string mVmsJson;
  uint64_t mVmsIndex = 0;
};

// One upstream's load, as its endpoint reported it to some agent or as a peer
// counts its own requests there.
struct UpstreamLoad
{
  // config::Upstream::mId.
  uint32_t mUpstream = 0;
  uint32_t mInFlight = 0;
  bool mHealthy = true;
  bool mDraining = false;
  // Age when the message was sent.
  milliseconds mAge{ 0 };
};

// A balancer's heartbeat to its agent.
struct LocalRequest
{
  membership::Member mSelf;
  // View::mSequence of the newest view that the balancer has.
  uint64_t mViewSequence = 0;
  membership::ConfigProgress mConfig;
};

// The agent's answer.
struct LocalReply
{
  // Absent when the balancer has the newest view.
  std::vector<membership::Member> mMembers;
  uint64_t mViewSequence = 0;
  bool mViewInDoubt = false;
  ConfigReply mConfig;
  std::vector<UpstreamLoad> mLoads;
  // When not zero: the agent will not announce this incarnation (any more);
  // the balancer must take a greater one before it goes on.
  membership::Incarnation mRefusedIncarnation = 0;
};

// Flows, by their fingerprints, that are bound to one upstream.
struct UpstreamFlows
{
  uint32_t mUpstream = 0;
  std::vector<uint32_t> mFingerprints;
};

// Balancer to balancer: flows whose upstream is not the default one.
struct FlowRecords
{
  membership::Incarnation mSender = 0;
  std::vector<UpstreamFlows> mRecords;
  // Not zero: the sender has handed over everything that the balancer of this
  // incarnation now owns.
  membership::Incarnation mGrantTo = 0;
  // Number of the configuration by whose defaults the flows were told.
  uint64_t mConfigNumber = 0;
  // Whether the loads replace what the sender told before.
  bool mHasLoads = false;
  std::vector<UpstreamLoad> mLoads;
};

} // namespace foxtail::net

#endif
