#include "foxtail/daemon/Trace.h"

#include <fstream>
#include <mutex>
#include <opentracing/mocktracer/json.h>
#include <opentracing/mocktracer/tracer.h>

#include "absl/strings/str_format.h"
#include "foxtail/core/Error.h"

namespace foxtail::daemon {

namespace {

constexpr uint64_t kMillion = 1'000'000;

// Writes each span to the file as soon as it ends. MockTracer's in-memory
// recorder would keep all spans, and its memory use would grow without bound.
class LineRecorder : public opentracing::mocktracer::Recorder
{
public:
  explicit LineRecorder(const std::string& aFile)
    : mOut(aFile, std::ios::app)
  {
    if (!mOut) {
      throw DaemonError(920, aFile, "cannot write the trace file");
    }
  }

  void RecordSpan(opentracing::mocktracer::SpanData&& aSpan) noexcept override
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    std::vector<opentracing::mocktracer::SpanData> spans;
    spans.push_back(std::move(aSpan));
    opentracing::mocktracer::ToJson(mOut, spans);
    mOut << std::endl;
  }

private:
  std::mutex mMutex;
  std::ofstream mOut;
};

} // namespace

struct Trace::Impl
{
  std::shared_ptr<opentracing::mocktracer::MockTracer> mTracer;
  std::string mVm;
  uint32_t mSamplePerMillion;
};

Trace::Trace(const std::string& aFile,
             const std::string& aVm,
             uint32_t aSamplePerMillion)
{
  if (aFile.empty()) {
    return;
  }
  opentracing::mocktracer::MockTracerOptions options;
  options.recorder = std::make_unique<LineRecorder>(aFile);
  mImpl = std::make_unique<Impl>(Impl{
    std::make_shared<opentracing::mocktracer::MockTracer>(std::move(options)),
    aVm,
    aSamplePerMillion });
}

Trace::~Trace() = default;

bool
Trace::IsSampled(uint64_t aTraceKey) const
{
  return mImpl != nullptr && aTraceKey % kMillion < mImpl->mSamplePerMillion;
}

void
Trace::Record(const char* aOperation,
              uint64_t aTraceKey,
              TimePoint aStart,
              TimePoint aEnd,
              const std::string& aPeer)
{
  opentracing::StartSpanOptions options;
  options.start_steady_timestamp = aStart;
  options.start_system_timestamp =
    std::chrono::system_clock::now() -
    std::chrono::duration_cast<std::chrono::system_clock::duration>(
      std::chrono::steady_clock::now() - aStart);
  const auto span = mImpl->mTracer->StartSpanWithOptions(aOperation, options);
  span->SetTag("trace", absl::StrFormat("%016x", aTraceKey));
  span->SetTag("vm", mImpl->mVm);
  span->SetTag("peer", aPeer);
  opentracing::FinishSpanOptions finish;
  finish.finish_steady_timestamp = aEnd;
  span->FinishWithOptions(finish);
}

} // namespace foxtail::daemon
