#ifndef foxtail_net_PeerMessages_h
#define foxtail_net_PeerMessages_h

#include <cstdint>
#include <string>
#include <vector>

#include "foxtail/core/Time.h"
#include "foxtail/membership/Gossip.h"
#include "foxtail/membership/View.h"

namespace foxtail::net {

// Requests every published document that is newer than those of the sender.
struct ConfigRequest
{
  membership::ConfigProgress mProgress;
  uint64_t mVmsIndex = 0;
};

// The published documents that are newer than those of the requester. An empty
// document, patch list or VM list means that there is nothing newer.
struct ConfigReply
{
  membership::ConfigProgress mVersion;
  // A complete configuration. Set when no patches lead from the requester's
  // version to this one.
  std::string mDocumentJson;
  // Published patches in the order of their publication.
  std::vector<std::string> mPatchesJson;
  std::string mVmsJson;
  uint64_t mVmsIndex = 0;
};

// Load of one upstream: as the upstream's load endpoint reported it to an
// agent, or as a peer counts its own requests to the upstream.
struct UpstreamLoad
{
  // The upstream's id, config::Upstream::mId.
  uint32_t mUpstream = 0;
  uint32_t mInFlight = 0;
  bool mHealthy = true;
  bool mDraining = false;
  // Age of the report at the time when the message was sent.
  milliseconds mAge{ 0 };
};

// A balancer's heartbeat to its agent.
struct LocalRequest
{
  membership::Member mSelf;
  // membership::View::mSequence of the balancer's newest view.
  uint64_t mViewSequence = 0;
  membership::ConfigProgress mConfig;
};

// The agent's answer to a heartbeat.
struct LocalReply
{
  // Empty when the balancer has the newest view.
  std::vector<membership::Member> mMembers;
  uint64_t mViewSequence = 0;
  bool mViewInDoubt = false;
  ConfigReply mConfig;
  std::vector<UpstreamLoad> mLoads;
  // When not zero, the agent does not announce this incarnation, or no longer
  // announces it. The balancer must take a greater one before it continues.
  membership::Incarnation mRefusedIncarnation = 0;
};

// Fingerprints of the flows that are bound to one upstream.
struct UpstreamFlows
{
  uint32_t mUpstream = 0;
  std::vector<uint32_t> mFingerprints;
};

// Sent from balancer to balancer: the flows that are not bound to their default
// upstream, which a hash of the flow selects.
struct FlowRecords
{
  membership::Incarnation mSender = 0;
  std::vector<UpstreamFlows> mRecords;
  // When not zero, this message is a grant, which completes a hand-over: the
  // sender has sent all records of the flows that the balancer of this
  // incarnation now owns.
  membership::Incarnation mGrantTo = 0;
  // Number of the configuration that gives the default upstreams to which the
  // records refer.
  uint64_t mConfigNumber = 0;
  // Whether mLoads replaces the loads that the sender advertised before.
  bool mHasLoads = false;
  std::vector<UpstreamLoad> mLoads;
};

} // namespace foxtail::net

#endif
