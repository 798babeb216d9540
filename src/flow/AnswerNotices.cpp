#include "foxtail/flow/AnswerNotices.h"

#include <algorithm>
#include <iterator>

namespace foxtail::flow {

namespace {

constexpr int kReportsPerNotice = 2;

} // namespace

void
AnswerNotices::Add(TimePoint aNow, Cookie aUpstream)
{
  const auto [it, isNew] = mAdded.emplace(aUpstream, aNow);
  if (isNew || aNow - it->second >= kMinInterval) {
    Repeat(aNow, aUpstream);
  }
}

void
AnswerNotices::Repeat(TimePoint aNow, Cookie aUpstream)
{
  mAdded[aUpstream] = aNow;
  const auto queued =
    std::find_if(mQueue.begin(), mQueue.end(), [&](const Notice& it) {
      return it.mUpstream == aUpstream;
    });
  if (queued != mQueue.end()) {
    queued->mRemaining = kReportsPerNotice;
  } else {
    mQueue.push_back({ aUpstream, kReportsPerNotice });
  }
}

void
AnswerNotices::Fill(std::vector<AnswerTime>& aTimes, SlotReport& aReport)
{
  const auto end = aTimes.begin() + static_cast<ptrdiff_t>(
                                      std::min(aTimes.size(), kMaxPerReport));
  auto& entries = aReport.mAnswerTimes;
  entries.assign(aTimes.begin(), end);
  aTimes.erase(aTimes.begin(), end);
  // Notices that don't fit come first in the next report.
  std::vector<Notice> sent;
  std::vector<Notice> unsent;
  for (const Notice& it : mQueue) {
    const bool isListed =
      std::any_of(entries.begin(), entries.end(), [&](const AnswerTime& n) {
        return n.mUpstream == it.mUpstream;
      });
    if (!isListed && entries.size() >= kMaxPerReport) {
      unsent.push_back(it);
      continue;
    }
    if (!isListed) {
      entries.push_back({ it.mUpstream, milliseconds(0) });
    }
    if (it.mRemaining > 1) {
      sent.push_back({ it.mUpstream, it.mRemaining - 1 });
    }
  }
  unsent.insert(unsent.end(), sent.begin(), sent.end());
  mQueue = std::move(unsent);
}

void
AnswerNotices::Expire(TimePoint aNow)
{
  for (auto it = mAdded.begin(); it != mAdded.end();) {
    const bool isOld = aNow - it->second >= kMinInterval;
    it = isOld ? mAdded.erase(it) : std::next(it);
  }
}

} // namespace foxtail::flow
