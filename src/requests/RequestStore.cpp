// Slots of the request table, their indexes, and what bounds their memory.
#include "foxtail/requests/RequestTable.h"

#include <algorithm>

#include "foxtail/core/Hash.h"

namespace foxtail::requests {

namespace {

constexpr size_t kMessageIdAt = 2;
constexpr size_t kTokenAt = 4;
// A free slot keeps a buffer of at most this many bytes for its next request.
constexpr size_t kKeptCapacity = 256;
constexpr uint64_t kMessageIdSeed = 0x6D6964;

} // namespace

RequestTable::Slot
RequestTable::FirstOf(const FlowKey& aFlow, uint16_t aMessageId) const
{
  const auto it = mByMessage.find(MessageKey{ aFlow, aMessageId });
  return it == mByMessage.end() ? kNoSlot : it->second;
}

RequestTable::Slot
RequestTable::FindDuplicate(const Incoming& aIn) const
{
  Slot slot = FirstOf(aIn.mFlow, aIn.mMessage.mMessageId);
  while (slot != kNoSlot && !IsSameMessage(mEntries[slot], aIn)) {
    slot = mEntries[slot].mNext;
  }
  return slot;
}

RequestTable::Slot
RequestTable::FindSerial(uint32_t aSerial) const
{
  const auto it = mBySerial.find(aSerial);
  if (it == mBySerial.end() || mEntries[it->second].mSerial != aSerial) {
    return kNoSlot;
  }
  return it->second;
}

RequestTable::Slot
RequestTable::FindAttempt(uint32_t aAttempt, const Address& aUpstream) const
{
  const auto it = mBySerial.find(aAttempt);
  if (it == mBySerial.end()) {
    return kNoSlot;
  }
  const Entry& entry = mEntries[it->second];
  const bool matches = entry.mAttempts > 0 && entry.mAttempt == aAttempt &&
                       entry.mUpstream == aUpstream;
  return matches ? it->second : kNoSlot;
}

void
RequestTable::SupersedeOthers(const Incoming& aIn)
{
  const auto supersede = [&](Slot aSlot) {
    Entry& entry = mEntries[aSlot];
    if (IsOpen(entry) && !entry.mSuperseded && !IsSameMessage(entry, aIn)) {
      entry.mSuperseded = true;
      ++mCounters.mSuperseded;
    }
  };
  const coap::Message& message = aIn.mMessage;
  for (Slot slot = FirstOf(aIn.mFlow, message.mMessageId); slot != kNoSlot;
       slot = mEntries[slot].mNext) {
    if (mEntries[slot].mToken == message.mToken) {
      supersede(slot);
    }
  }
  if (mNonConfirmable.empty()) {
    return;
  }
  const auto it = mNonConfirmable.find(TokenKey{ aIn.mFlow, message.mToken });
  if (it != mNonConfirmable.end()) {
    supersede(it->second);
  }
}

bool
RequestTable::MakeRoom(TimePoint aNow)
{
  RemoveExpired(aNow);
  while (mEntries.size() - mFree.size() >= mSettings.mMaxRequests ||
         mBytes + coap::kMaxDatagram > mSettings.mMaxBytes) {
    if (!EvictOldest()) {
      return false;
    }
  }
  return true;
}

RequestTable::Slot
RequestTable::Allocate()
{
  if (mFree.empty()) {
    mEntries.emplace_back();
    return static_cast<Slot>(mEntries.size() - 1);
  }
  const Slot slot = mFree.back();
  mFree.pop_back();
  return slot;
}

void
RequestTable::Fill(Slot aSlot,
                   const Incoming& aIn,
                   std::optional<uint64_t> aEchoCounter)
{
  Entry& entry = mEntries[aSlot];
  const coap::Message& message = aIn.mMessage;
  entry.mFlow = aIn.mFlow;
  entry.mToken = message.mToken;
  entry.mMessageId = message.mMessageId;
  entry.mType = message.mType;
  entry.mPhase = Phase::Waiting;
  entry.mIdempotent = !aEchoCounter.has_value();
  entry.mSuperseded = false;
  entry.mAttempts = 0;
  entry.mSerial = NextSerial();
  entry.mAttempt = entry.mSerial;
  entry.mDigest = aIn.mDigest;
  entry.mEchoHash = aIn.mEchoHash;
  entry.mEchoCounter = aEchoCounter.value_or(0);
  entry.mDeadline = aIn.mDeadline;
  // The real header is written by Send.
  coap::EncodeRelayed(
    message, coap::Type::Confirmable, 0, coap::Token::FromValue(0), mOut);
  Store(entry, mOut);

  ++mOpen;
  mBySerial.emplace(entry.mSerial, aSlot);
  if (aEchoCounter) {
    mByEcho.emplace(*aEchoCounter, aSlot);
  }
  Link(aSlot);
  if (entry.mType == coap::Type::NonConfirmable) {
    mNonConfirmable[TokenKey{ entry.mFlow, entry.mToken }] = aSlot;
  }
}

void
RequestTable::Link(Slot aSlot)
{
  Entry& entry = mEntries[aSlot];
  const auto [it, isNew] =
    mByMessage.try_emplace(MessageKey{ entry.mFlow, entry.mMessageId }, aSlot);
  entry.mNext = isNew ? kNoSlot : it->second;
  it->second = aSlot;
}

void
RequestTable::Unlink(Slot aSlot)
{
  const Entry& entry = mEntries[aSlot];
  const auto it = mByMessage.find(MessageKey{ entry.mFlow, entry.mMessageId });
  if (it->second == aSlot) {
    it->second = entry.mNext;
    if (entry.mNext == kNoSlot) {
      mByMessage.erase(it);
    }
    return;
  }
  Slot before = it->second;
  while (mEntries[before].mNext != aSlot) {
    before = mEntries[before].mNext;
  }
  mEntries[before].mNext = entry.mNext;
}

void
RequestTable::ForgetToken(Slot aSlot)
{
  const Entry& entry = mEntries[aSlot];
  const auto it = mNonConfirmable.find(TokenKey{ entry.mFlow, entry.mToken });
  if (it != mNonConfirmable.end() && it->second == aSlot) {
    mNonConfirmable.erase(it);
  }
}

void
RequestTable::Release(Slot aSlot)
{
  Entry& entry = mEntries[aSlot];
  if (entry.mIdempotent) {
    Unlink(aSlot);
  } else {
    mByEcho.erase(entry.mEchoCounter);
  }
  mBySerial.erase(entry.mSerial);
  mBySerial.erase(entry.mAttempt);
  entry.mPhase = Phase::Free;
  mBytes -= entry.mStored.capacity();
  entry.mStored.clear();
  if (entry.mStored.capacity() > kKeptCapacity) {
    entry.mStored.shrink_to_fit();
  }
  mBytes += entry.mStored.capacity();
  mFree.push_back(aSlot);
}

void
RequestTable::Store(Entry& aEntry, std::string_view aBytes)
{
  mBytes -= aEntry.mStored.capacity();
  aEntry.mStored.assign(aBytes);
  if (aEntry.mStored.capacity() > kKeptCapacity + aBytes.size()) {
    aEntry.mStored.shrink_to_fit();
  }
  mBytes += aEntry.mStored.capacity();
}

bool
RequestTable::EvictOldest()
{
  std::deque<Slot>& finished =
    mFinishedIdempotent.empty() ? mFinishedOthers : mFinishedIdempotent;
  if (finished.empty()) {
    return false;
  }
  ++mCounters.mEvicted;
  Release(finished.front());
  finished.pop_front();
  return true;
}

void
RequestTable::RemoveExpired(TimePoint aNow)
{
  CollectFrom(mFinishedIdempotent, aNow - mSettings.mIdempotentAnswerLifetime);
  CollectFrom(mFinishedOthers, aNow - mSettings.mAnswerLifetime);
}

void
RequestTable::CollectFrom(std::deque<Slot>& aFinished, TimePoint aBefore)
{
  while (!aFinished.empty() &&
         mEntries[aFinished.front()].mFinished <= aBefore) {
    Release(aFinished.front());
    aFinished.pop_front();
  }
}

uint32_t
RequestTable::NextSerial()
{
  do {
    ++mLastSerial;
  } while (mLastSerial == kNoSerial || mBySerial.contains(mLastSerial));
  return mLastSerial;
}

uint16_t
RequestTable::NextMessageId(const Address& aUpstream)
{
  const auto [it, isNew] = mMessageIds.try_emplace(aUpstream, 0);
  if (isNew) {
    // Two incarnations on one address hardly ever start alike.
    const uint64_t address = uint64_t(aUpstream.mIp) << 16 | aUpstream.mPort;
    const uint64_t seed = MixHash(kMessageIdSeed, mSettings.mEcho.mIncarnation);
    it->second = static_cast<uint16_t>(MixHash(seed, address));
  }
  return it->second++;
}

void
RequestTable::WriteHeader(Entry& aEntry)
{
  std::string& buf = aEntry.mStored;
  buf[kMessageIdAt] = static_cast<char>(aEntry.mUpstreamMessageId >> 8);
  buf[kMessageIdAt + 1] = static_cast<char>(aEntry.mUpstreamMessageId & 0xFF);
  const coap::Token token =
    coap::Token::FromValue(uint64_t(mTag) << 32 | aEntry.mAttempt);
  std::copy_n(token.mBytes.begin(), token.mLength, buf.begin() + kTokenAt);
}

} // namespace foxtail::requests
