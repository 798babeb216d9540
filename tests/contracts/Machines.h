#ifndef foxtail_tests_contracts_Machines_h
#define foxtail_tests_contracts_Machines_h

#include "Explorer.h"

namespace foxtail::tests {

// The real request table.
MachineFactory
EchoBalancer();

enum class NaiveExpiry
{
  SaysNotRun,
  SaysNothing
};

// A plain proxy: runs what it gets, matches answers by the number of the
// request alone.
MachineFactory
NaiveBalancer(NaiveExpiry aExpiry);

enum class CutPolicy
{
  // Each side of a cut serves with an owner and a backup of its own.
  ServeBoth,
  // Only the side with more than half of all balancers serves.
  ServeMajority
};

// Four balancers, the first two cut from the others for so long that every
// lease has been renewed or has ended: each side has a settled owner that logs
// an intent at a settled backup before it sends.
MachineFactory
LeaseBalancer(CutPolicy aPolicy);

} // namespace foxtail::tests

#endif
