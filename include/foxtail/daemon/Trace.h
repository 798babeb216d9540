#ifndef foxtail_daemon_Trace_h
#define foxtail_daemon_Trace_h

#include <memory>
#include <string>

#include "foxtail/core/Time.h"

namespace foxtail::daemon {

// Writes one span for each hop of a sampled request, as one JSON line. All
// processes derive the trace key from the caller's address, message id and
// token. They therefore sample the same requests, and their spans can be joined
// by the key although no trace context is sent on the wire.
class Trace
{
public:
  // An empty aFile turns tracing off. Throws DaemonError 920 if the file cannot
  // be written.
  Trace(const std::string& aFile,
        const std::string& aVm,
        uint32_t aSamplePerMillion);
  ~Trace();

  // Returns whether the request with this trace key is sampled; false if
  // tracing is off.
  bool IsSampled(uint64_t aTraceKey) const;

  // Writes the span of one finished hop; aPeer is the other end of the hop.
  // Call it only if IsSampled(aTraceKey).
  void Record(const char* aOperation,
              uint64_t aTraceKey,
              TimePoint aStart,
              TimePoint aEnd,
              const std::string& aPeer);

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace foxtail::daemon

#endif
