#ifndef foxtail_daemon_Trace_h
#define foxtail_daemon_Trace_h

#include <memory>
#include <string>

#include "foxtail/core/Time.h"

namespace foxtail::daemon {

// Writes one span for each hop of a sampled request, one JSON line each. All
// processes derive the trace key from the caller's address, message id and
// token, so they sample the same requests and their spans join by the key
// without any bytes on the wire.
class Trace
{
public:
  // An empty file name turns tracing off. Throws DaemonError 920 when the file
  // cannot be written.
  Trace(const std::string& aFile,
        const std::string& aVm,
        uint32_t aSamplePerMillion);
  ~Trace();

  bool IsSampled(uint64_t aTraceKey) const;

  // One finished hop of a sampled request; aPeer is where it went or came from.
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
