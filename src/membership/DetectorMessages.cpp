#include "foxtail/membership/Detector.h"

#include <cmath>
#include <utility>

namespace foxtail::membership {

namespace {

// Maximum number of unanswered probes sent on behalf of other members; the
// oldest is dropped for a new one.
constexpr size_t kMaxRelayedProbes = 64;

// Number of times that one member sends the same record; grows with the
// logarithm of the number of members.
int
MaxSends(size_t aMembers)
{
  constexpr int kMinSends = 8;
  constexpr int kSendsPerTenfold = 2;
  const double tenfolds = std::log10(static_cast<double>(aMembers) + 2);
  return kMinSends + kSendsPerTenfold * static_cast<int>(std::ceil(tenfolds));
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
      // Without a VM list this agent accepts gossip from nobody, but the sender
      // may have a list that can be fetched.
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
  // A starting agent sends Sync before it has announced itself, so the sender's
  // record in a Sync is not merged.
  if (gossip.mKind != GossipKind::Sync) {
    Merge(aNow, gossip.mSender, true);
  }
  const bool disseminate = gossip.mKind != GossipKind::SyncReply;
  for (const MemberRecord& it : gossip.mUpdates) {
    Merge(aNow, it, disseminate);
  }
  HandleMessage(aNow, aEvent);
}

void
Detector::HandleMessage(TimePoint aNow, const GossipReceived& aEvent)
{
  const Gossip& gossip = aEvent.mGossip;
  if (gossip.mKind == GossipKind::SyncReply) {
    OnSyncReply(gossip);
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
        SendToMember(it->second, std::move(ack), kPiggybackBytes);
      }
      break;
    }
    case GossipKind::IndirectProbe:
      RelayProbe(aNow, aEvent);
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
Detector::RelayProbe(TimePoint aNow, const GossipReceived& aEvent)
{
  const auto it = mMembers.find(aEvent.mGossip.mTarget);
  if (it == mMembers.end()) {
    return;
  }
  if (mRelayedProbes.size() >= kMaxRelayedProbes) {
    mRelayedProbes.erase(mRelayedProbes.begin());
  }
  mRelayedProbes[++mSequence] = { aEvent.mPeer,
                                  aEvent.mGossip.mSequence,
                                  aNow + kProbePeriod };
  SendToMember(
    it->second, Compose(GossipKind::Probe, mSequence), kPiggybackBytes);
}

void
Detector::OnAck(TimePoint aNow, const Gossip& aGossip)
{
  if (mProbe && mProbe->mSequence == aGossip.mSequence &&
      mProbe->mTarget == aGossip.mTarget) {
    mProbe->mAnswered = true;
    mViewDirty |= mStaleAfterPause;
    mStaleAfterPause = false;
    return;
  }
  const auto it = mRelayedProbes.find(aGossip.mSequence);
  if (it == mRelayedProbes.end()) {
    return;
  }
  if (aNow <= it->second.mExpires) {
    Gossip ack = Compose(GossipKind::Ack, it->second.mRequesterSequence);
    ack.mTarget = aGossip.mTarget;
    Send(it->second.mRequester, std::move(ack), kPiggybackBytes);
  }
  mRelayedProbes.erase(it);
}

// Answers with the records after aEvent.mGossip.mTarget that the sender lacks
// or has in an older version. When the sender sent a full page of records, the
// answer is limited to the range of names in that page.
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
Detector::OnSyncReply(const Gossip& aGossip)
{
  if (!mPull || mPull->mSequence != aGossip.mSequence) {
    return;
  }
  if (aGossip.mTarget <= mPull->mAfterName) {
    mPull.reset();
    mHasPulledList = true;
    mPullComplete = HasMajority();
    mViewDirty = true;
    return;
  }
  mPull->mAfterName = aGossip.mTarget;
  mPull->mSequence = ++mSequence;
  Gossip next = Compose(GossipKind::Sync, mPull->mSequence);
  next.mTarget = mPull->mAfterName;
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
Detector::Send(const Address& aTo, Gossip aGossip, size_t aMaxUpdateBytes)
{
  if (aMaxUpdateBytes != 0) {
    const std::vector<MemberRecord> updates =
      mUpdateQueue.Take(aMaxUpdateBytes,
                        MaxSends(mMembers.size()),
                        [&](const std::string& n) { return FindRecord(n); });
    aGossip.mUpdates.insert(
      aGossip.mUpdates.end(), updates.begin(), updates.end());
  }
  mActions.emplace_back(SendGossip{ aTo, std::move(aGossip) });
}

// A member that is suspected or declared dead is sent its own record, so that
// it can refute it.
void
Detector::SendToMember(const Entry& aEntry,
                       Gossip aGossip,
                       size_t aMaxUpdateBytes)
{
  if (aEntry.mRecord.mMember.mState != MemberState::Alive) {
    aGossip.mUpdates.push_back(aEntry.mRecord);
  }
  Send(
    aEntry.mRecord.mMember.mAgentAddress, std::move(aGossip), aMaxUpdateBytes);
}

} // namespace foxtail::membership
