#ifndef foxtail_agent_PeerLinks_h
#define foxtail_agent_PeerLinks_h

#include "foxtail/agent/SharedCore.h"
#include "foxtail/daemon/Supervisor.h"

// The parts of an agent that speak with other processes of the system. Each
// makes its socket anew when it is started again.
namespace foxtail::agent {

// Gossip datagrams and the ticks of the core.
void
RunGossip(SharedCore& aCore,
          const Address& aAgent,
          const daemon::StopToken& aStop);

// Answers the configuration requests of peers.
void
RunPeerServer(SharedCore& aCore,
              const Address& aAgent,
              const daemon::StopToken& aStop);

// Answers the balancer of this VM.
void
RunLocalServer(SharedCore& aCore,
               const Address& aLocal,
               const daemon::StopToken& aStop);

// Fetches from peers what they have newer.
void
RunFetcher(SharedCore& aCore,
           const Address& aAgent,
           const daemon::StopToken& aStop);

} // namespace foxtail::agent

#endif
