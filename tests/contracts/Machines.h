#ifndef foxtail_tests_contracts_Machines_h
#define foxtail_tests_contracts_Machines_h

#include "Explorer.h"

namespace foxtail::tests {

// A balancer that uses the real request table.
MachineFactory
EchoBalancer();

enum class NaiveExpiry
{
  SaysNotRun,
  SaysNothing
};

// A plain proxy: sends every request that it receives to an upstream and
// matches answers to requests by the serial number alone.
MachineFactory
NaiveBalancer(NaiveExpiry aExpiry);

enum class CutPolicy
{
  // Each side of a network partition serves with its own owner and backup.
  ServeBoth,
  // Only the side with more than half of all balancers serves.
  ServeMajority
};

// Four balancers. A network partition has separated the first two from the
// others for so long that every lease has been renewed or has expired. Each
// side has a fixed owner that logs an intent at a fixed backup before it sends
// a request to an upstream.
MachineFactory
LeaseBalancer(CutPolicy aPolicy);

} // namespace foxtail::tests

#endif
