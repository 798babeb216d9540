#ifndef foxtail_agent_PeerLinks_h
#define foxtail_agent_PeerLinks_h

#include "foxtail/agent/SharedCore.h"
#include "foxtail/daemon/Supervisor.h"

// The supervised parts of an agent that communicate with other agents and with
// the VM's balancer. Each call opens a new socket, so that a restarted part
// starts with a fresh one.
namespace foxtail::agent {

// Receives and sends gossip datagrams and calls the core's Tick.
void
RunGossip(SharedCore& aCore,
          const Address& aAgentAddress,
          const daemon::StopToken& aStop);

// Answers the configuration requests of peers.
void
RunPeerServer(SharedCore& aCore,
              const Address& aAgentAddress,
              const daemon::StopToken& aStop);

// Answers the balancer of this VM.
void
RunLocalServer(SharedCore& aCore,
               const Address& aLocalAddress,
               const daemon::StopToken& aStop);

// Fetches newer configuration and VM lists from peers.
void
RunFetcher(SharedCore& aCore,
           const Address& aAgentAddress,
           const daemon::StopToken& aStop);

} // namespace foxtail::agent

#endif
