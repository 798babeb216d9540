#ifndef flow_UpstreamOrder_h
#define flow_UpstreamOrder_h

#include "foxtail/flow/Directory.h"

// Comparisons of upstreams' records that have the same result on every
// balancer.
namespace foxtail::flow {

// Whether aFirst keeps the cookie that both upstreams have: the one that
// started earlier, then the one whose record was created earlier. An upstream
// with an unknown start comes after one with a known start.
bool
PrecedesAsHolder(const UpstreamRecord& aFirst, const UpstreamRecord& aSecond);

// Whether aNew differs from the known record in a field that balancing
// decisions depend on.
bool
HasRelevantChange(TimePoint aNow,
                  const Upstream& aKnown,
                  const UpstreamRecord& aNew);

// Whether the upstream stays as it is when a restored publisher has this
// record: one that was draining or removed unless the record is newer by start
// and sequence, and any other if the record is older.
bool
StaysAfterRestore(const Upstream& aKnown, const UpstreamRecord& aRecord);

} // namespace foxtail::flow

#endif
