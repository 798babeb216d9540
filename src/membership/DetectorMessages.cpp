#include "foxtail/membership/Detector.h"

#include <cmath>
#include <utility>

namespace foxtail::membership {

namespace {

// Probes made for other members at a time.
constexpr size_t kMaxRelays = 64;
// How often one record is passed on by one member.
int
MaxSends(size_t aMembers)
{
  constexpr int kAtLeast = 8;
  constexpr int kPerTenfold = 2;
  const double tenfolds = std::log10(static_cast<double>(aMembers) + 2);
  return kAtLeast + kPerTenfold * static_cast<int>(std::ceil(tenfolds));
}

} // namespace

int
Detector::CheckSender(const GossipReceived& aEvent) const
{
  const Member& sender = aEvent.mGossip.mSender.mMember;
  if (sender.mName == mSettings.mName) {
    return 722;
  }
  if (!mRegistry.Permits(sender.mName, aEvent.mPeer.mIp)) {
    return 720;
  }
  return sender.mAgentAddress == aEvent.mPeer ? 0 : 721;
}

void
Detector::On(TimePoint aNow, const GossipReceived& aEvent)
{
  const int error = CheckSender(aEvent);
  if (error != 0) {
    mActions.emplace_back(GossipRefused{ error, aEvent.mPeer });
    if (mRegistry.Entries().empty()) {
      // Without a list nobody may speak, but whoever does may have one.
      mActions.emplace_back(PeerAhead{ aEvent.mPeer, false, true });
    }
    return;
  }
  const Gossip& gossip = aEvent.mGossip;
  const PeerAhead ahead{ aEvent.mPeer,
                         gossip.mConfig.mNumber > mConfig.mNumber ||
                           gossip.mConfig.mPosition > mConfig.mPosition,
                         gossip.mVmsIndex > mRegistry.Index() };
  if (ahead.mConfig || ahead.mVms) {
    mActions.emplace_back(ahead);
  }
  // A starting agent asks before it says anything about itself.
  if (gossip.mKind != GossipKind::Sync) {
    Merge(aNow, gossip.mSender, true);
  }
  const bool news = gossip.mKind != GossipKind::SyncReply;
  for (const MemberRecord& it : gossip.mUpdates) {
    Merge(aNow, it, news);
  }
  Answer(aNow, aEvent);
}

void
Detector::Answer(TimePoint aNow, const GossipReceived& aEvent)
{
  const Gossip& gossip = aEvent.mGossip;
  if (gossip.mKind == GossipKind::SyncReply) {
    OnPage(gossip);
  }
  if (mPhase != Phase::Live) {
    return;
  }
  switch (gossip.mKind) {
    case GossipKind::Probe: {
      Gossip ack = Compose(GossipKind::Ack, gossip.mSequence);
      ack.mTarget = mSettings.mName;
      const auto it = mMembers.find(gossip.mSender.mMember.mName);
      if (it != mMembers.end()) {
        SendTo(it->second, std::move(ack), kPiggybackBytes);
      }
      break;
    }
    case GossipKind::IndirectProbe:
      AnswerIndirect(aNow, aEvent);
      break;
    case GossipKind::Ack:
      OnAck(aNow, gossip);
      break;
    case GossipKind::Sync:
      AnswerSync(aEvent);
      break;
    case GossipKind::SyncReply:
    case GossipKind::Update:
      break;
  }
}

void
Detector::AnswerIndirect(TimePoint aNow, const GossipReceived& aEvent)
{
  const auto it = mMembers.find(aEvent.mGossip.mTarget);
  if (it == mMembers.end()) {
    return;
  }
  if (mRelays.size() >= kMaxRelays) {
    mRelays.erase(mRelays.begin());
  }
  mRelays[++mSequence] = { aEvent.mPeer,
                           aEvent.mGossip.mSequence,
                           aNow + kProbePeriod };
  SendTo(it->second, Compose(GossipKind::Probe, mSequence), kPiggybackBytes);
}

void
Detector::OnAck(TimePoint aNow, const Gossip& aGossip)
{
  if (mProbe && mProbe->mSequence == aGossip.mSequence &&
      mProbe->mTarget == aGossip.mTarget) {
    mProbe->mAnswered = true;
    mViewDirty |= mPaused;
    mPaused = false;
    return;
  }
  const auto it = mRelays.find(aGossip.mSequence);
  if (it == mRelays.end()) {
    return;
  }
  if (aNow <= it->second.mExpires) {
    Gossip ack = Compose(GossipKind::Ack, it->second.mAskerSequence);
    ack.mTarget = aGossip.mTarget;
    Send(it->second.mAsker, std::move(ack), kPiggybackBytes);
  }
  mRelays.erase(it);
}

// Answers with what the asker lacks of the names after its own last one. An
// asker that sent a full page of its records hears of that range alone.
void
Detector::AnswerSync(const GossipReceived& aEvent)
{
  const Gossip& gossip = aEvent.mGossip;
  std::map<std::string, const MemberRecord*> known;
  for (const MemberRecord& it : gossip.mUpdates) {
    known[it.mMember.mName] = &it;
  }
  const bool bounded = gossip.mUpdates.size() >= kSyncPageRecords;
  Gossip reply = Compose(GossipKind::SyncReply, gossip.mSequence);
  size_t bytes = 0;
  for (const MemberRecord* it : RecordsAfter(gossip.mTarget)) {
    const std::string& name = it->mMember.mName;
    if (bounded && name > known.rbegin()->first) {
      break;
    }
    const auto theirs = known.find(name);
    if (theirs != known.end() && !Supersedes(*it, *theirs->second)) {
      continue;
    }
    bytes += WireSizeBound(*it);
    if (bytes > kPageBytes) {
      reply.mTarget = reply.mUpdates.back().mMember.mName;
      break;
    }
    reply.mUpdates.push_back(*it);
  }
  Send(aEvent.mPeer, std::move(reply), 0);
}

void
Detector::OnPage(const Gossip& aGossip)
{
  if (!mPull || mPull->mSequence != aGossip.mSequence) {
    return;
  }
  if (aGossip.mTarget <= mPull->mAfter) {
    mPull.reset();
    mSynced = true;
    mListComplete = HearsMajority();
    mViewDirty = true;
    return;
  }
  mPull->mAfter = aGossip.mTarget;
  mPull->mSequence = ++mSequence;
  Gossip next = Compose(GossipKind::Sync, mPull->mSequence);
  next.mTarget = mPull->mAfter;
  Send(mPull->mPeer, std::move(next), 0);
}

Gossip
Detector::Compose(GossipKind aKind, uint64_t aSequence) const
{
  Gossip gossip;
  gossip.mKind = aKind;
  gossip.mSequence = aSequence;
  gossip.mSender = mSelf;
  gossip.mConfig = mConfig;
  gossip.mVmsIndex = mRegistry.Index();
  return gossip;
}

void
Detector::Send(const Address& aTo, Gossip aGossip, size_t aUpdateBytes)
{
  if (aUpdateBytes != 0) {
    const std::vector<MemberRecord> updates =
      mQueue.Take(aUpdateBytes,
                  MaxSends(mMembers.size()),
                  [&](const std::string& n) { return FindRecord(n); });
    aGossip.mUpdates.insert(
      aGossip.mUpdates.end(), updates.begin(), updates.end());
  }
  mActions.emplace_back(SendGossip{ aTo, std::move(aGossip) });
}

// A member that is suspected or held dead is told so, that it may refute.
void
Detector::SendTo(const Entry& aEntry, Gossip aGossip, size_t aUpdateBytes)
{
  if (aEntry.mRecord.mMember.mState != MemberState::Alive) {
    aGossip.mUpdates.push_back(aEntry.mRecord);
  }
  Send(aEntry.mRecord.mMember.mAgentAddress, std::move(aGossip), aUpdateBytes);
}

} // namespace foxtail::membership
