#ifndef foxtail_flow_RejectedUpstreams_h
#define foxtail_flow_RejectedUpstreams_h

#include <cstddef>
#include <unordered_map>

#include "foxtail/core/Time.h"
#include "foxtail/flow/Packet.h"
#include "foxtail/flow/Revision.h"

namespace foxtail::flow {

// Upstreams that a broker must not grant because a balancer with a newer
// replica rejected a grant of them. Not thread-safe.
class RejectedUpstreams
{
public:
  // Limit of an exclusion. The broker reads the newer replica at once, so a
  // rejection that it cannot confirm by then may be wrong.
  static constexpr milliseconds kMaxExclusion{ 2000 };
  // Time for which a rejection is remembered. Until then, only a rejection by
  // a newer replica excludes the same upstream again, so that a balancer with a
  // wrong replica cannot keep an upstream out of use.
  static constexpr seconds kRetention{ 30 };

  // Handles a rejection by a balancer whose newest change is aNewest. Returns
  // whether it excludes the upstream, which was not excluded before. Rejections
  // by a replica that is no newer than the own one, aOwn, are ignored.
  bool Add(TimePoint aNow, Cookie aUpstream, Revision aNewest, Revision aOwn);
  // Whether the upstream is excluded for a broker whose replica has all changes
  // up to aOwn.
  bool IsExcluded(TimePoint aNow, Cookie aUpstream, Revision aOwn) const;
  // Drops rejections older than kRetention.
  void Purge(TimePoint aNow);
  size_t Size() const { return mRejections.size(); }

private:
  struct Rejection
  {
    Revision mNewest = 0;
    TimePoint mAt;
  };
  std::unordered_map<Cookie, Rejection> mRejections;
};

} // namespace foxtail::flow

#endif
