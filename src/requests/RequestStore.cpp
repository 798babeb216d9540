// Storage of RequestTable: the slots, their indexes, and the limits on memory.
#include "foxtail/requests/RequestTable.h"

#include <algorithm>

#include "foxtail/core/Hash.h"

namespace foxtail::requests {

namespace {

constexpr size_t kMessageIdOffset = 2;
constexpr size_t kTokenOffset = 4;
// Spare bytes that the buffer of a slot may keep allocated: a free slot keeps a
// buffer of at most this size for its next request.
constexpr size_t kMaxSpareCapacity = 256;
// ASCII "mid".
constexpr uint64_t kMessageIdSeed = 0x6D6964;

} // namespace

RequestTable::Slot
RequestTable::FindNewest(const FlowKey& aFlow, uint16_t aMessageId) const
{
  const auto it = mByMessageId.find(MessageKey{ aFlow, aMessageId });
  return it == mByMessageId.end() ? kNoSlot : it->second;
}

RequestTable::Slot
RequestTable::FindDuplicate(const Incoming& aIn) const
{
  Slot slot = FindNewest(aIn.mFlow, aIn.mMessage.mMessageId);
  while (slot != kNoSlot && !IsSameMessage(mEntries[slot], aIn)) {
    slot = mEntries[slot].mNextSameMessageId;
  }
  return slot;
}

RequestTable::Slot
RequestTable::FindBySerial(uint32_t aSerial) const
{
  const auto it = mBySerial.find(aSerial);
  if (it == mBySerial.end() || mEntries[it->second].mSerial != aSerial) {
    return kNoSlot;
  }
  return it->second;
}

RequestTable::Slot
RequestTable::FindByAttempt(uint32_t aAttempt, const Address& aUpstream) const
{
  const auto it = mBySerial.find(aAttempt);
  if (it == mBySerial.end()) {
    return kNoSlot;
  }
  const Entry& entry = mEntries[it->second];
  const bool matches = entry.mAttemptCount > 0 &&
                       entry.mAttemptSerial == aAttempt &&
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
  for (Slot slot = FindNewest(aIn.mFlow, message.mMessageId); slot != kNoSlot;
       slot = mEntries[slot].mNextSameMessageId) {
    if (mEntries[slot].mToken == message.mToken) {
      supersede(slot);
    }
  }
  if (mOpenNonConfirmable.empty()) {
    return;
  }
  const auto it =
    mOpenNonConfirmable.find(TokenKey{ aIn.mFlow, message.mToken });
  if (it != mOpenNonConfirmable.end()) {
    supersede(it->second);
  }
}

bool
RequestTable::MakeRoom(TimePoint aNow)
{
  RemoveExpired(aNow);
  while (mEntries.size() - mFreeSlots.size() >= mSettings.mMaxRequests ||
         mStoredBytes + coap::kMaxDatagram > mSettings.mMaxBytes) {
    if (!EvictOldest()) {
      return false;
    }
  }
  return true;
}

RequestTable::Slot
RequestTable::Allocate()
{
  if (mFreeSlots.empty()) {
    mEntries.emplace_back();
    return static_cast<Slot>(mEntries.size() - 1);
  }
  const Slot slot = mFreeSlots.back();
  mFreeSlots.pop_back();
  return slot;
}

void
RequestTable::InitEntry(Slot aSlot,
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
  entry.mAttemptCount = 0;
  entry.mSerial = NextSerial();
  entry.mAttemptSerial = entry.mSerial;
  entry.mRequestDigest = aIn.mRequestDigest;
  entry.mEchoHash = aIn.mEchoHash;
  entry.mEchoCounter = aEchoCounter.value_or(0);
  entry.mDeadline = aIn.mDeadline;
  // Send overwrites the message id and the token.
  coap::EncodeRelayed(message,
                      coap::Type::Confirmable,
                      0,
                      coap::Token::FromValue(0),
                      mEncodeBuffer);
  StoreDatagram(entry, mEncodeBuffer);

  ++mOpenCount;
  mBySerial.emplace(entry.mSerial, aSlot);
  if (aEchoCounter) {
    mByEchoCounter.emplace(*aEchoCounter, aSlot);
  }
  AddToMessageIdIndex(aSlot);
  if (entry.mType == coap::Type::NonConfirmable) {
    mOpenNonConfirmable[TokenKey{ entry.mFlow, entry.mToken }] = aSlot;
  }
}

void
RequestTable::AddToMessageIdIndex(Slot aSlot)
{
  Entry& entry = mEntries[aSlot];
  const auto [it, isNew] = mByMessageId.try_emplace(
    MessageKey{ entry.mFlow, entry.mMessageId }, aSlot);
  entry.mNextSameMessageId = isNew ? kNoSlot : it->second;
  it->second = aSlot;
}

void
RequestTable::RemoveFromMessageIdIndex(Slot aSlot)
{
  const Entry& entry = mEntries[aSlot];
  const auto it =
    mByMessageId.find(MessageKey{ entry.mFlow, entry.mMessageId });
  if (it->second == aSlot) {
    it->second = entry.mNextSameMessageId;
    if (entry.mNextSameMessageId == kNoSlot) {
      mByMessageId.erase(it);
    }
    return;
  }
  Slot before = it->second;
  while (mEntries[before].mNextSameMessageId != aSlot) {
    before = mEntries[before].mNextSameMessageId;
  }
  mEntries[before].mNextSameMessageId = entry.mNextSameMessageId;
}

void
RequestTable::RemoveFromOpenNonConfirmable(Slot aSlot)
{
  const Entry& entry = mEntries[aSlot];
  const auto it =
    mOpenNonConfirmable.find(TokenKey{ entry.mFlow, entry.mToken });
  if (it != mOpenNonConfirmable.end() && it->second == aSlot) {
    mOpenNonConfirmable.erase(it);
  }
}

void
RequestTable::Release(Slot aSlot)
{
  Entry& entry = mEntries[aSlot];
  if (entry.mIdempotent) {
    RemoveFromMessageIdIndex(aSlot);
  } else {
    mByEchoCounter.erase(entry.mEchoCounter);
  }
  mBySerial.erase(entry.mSerial);
  mBySerial.erase(entry.mAttemptSerial);
  entry.mPhase = Phase::Free;
  mStoredBytes -= entry.mDatagram.capacity();
  entry.mDatagram.clear();
  if (entry.mDatagram.capacity() > kMaxSpareCapacity) {
    entry.mDatagram.shrink_to_fit();
  }
  mStoredBytes += entry.mDatagram.capacity();
  mFreeSlots.push_back(aSlot);
}

void
RequestTable::StoreDatagram(Entry& aEntry, std::string_view aBytes)
{
  mStoredBytes -= aEntry.mDatagram.capacity();
  aEntry.mDatagram.assign(aBytes);
  if (aEntry.mDatagram.capacity() > kMaxSpareCapacity + aBytes.size()) {
    aEntry.mDatagram.shrink_to_fit();
  }
  mStoredBytes += aEntry.mDatagram.capacity();
}

bool
RequestTable::EvictOldest()
{
  std::deque<Slot>& finished =
    mFinishedIdempotent.empty() ? mFinishedNonIdempotent : mFinishedIdempotent;
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
  RemoveExpiredFrom(mFinishedIdempotent,
                    aNow - mSettings.mIdempotentAnswerLifetime);
  RemoveExpiredFrom(mFinishedNonIdempotent,
                    aNow - mSettings.mNonIdempotentAnswerLifetime);
}

void
RequestTable::RemoveExpiredFrom(std::deque<Slot>& aFinished, TimePoint aBefore)
{
  while (!aFinished.empty() &&
         mEntries[aFinished.front()].mFinishedAt <= aBefore) {
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
  const auto [it, isNew] = mNextMessageIds.try_emplace(aUpstream, 0);
  if (isNew) {
    // Starts at a hash of the incarnation, so that two incarnations on one
    // address rarely start with the same message id.
    const uint64_t address = uint64_t(aUpstream.mIp) << 16 | aUpstream.mPort;
    const uint64_t seed = MixHash(kMessageIdSeed, mSettings.mEcho.mIncarnation);
    it->second = static_cast<uint16_t>(MixHash(seed, address));
  }
  return it->second++;
}

void
RequestTable::WriteUpstreamHeader(Entry& aEntry)
{
  std::string& buf = aEntry.mDatagram;
  buf[kMessageIdOffset] = static_cast<char>(aEntry.mUpstreamMessageId >> 8);
  buf[kMessageIdOffset + 1] =
    static_cast<char>(aEntry.mUpstreamMessageId & 0xFF);
  const coap::Token token = coap::Token::FromValue(
    uint64_t(mIncarnationTag) << 32 | aEntry.mAttemptSerial);
  std::copy_n(token.mBytes.begin(), token.mLength, buf.begin() + kTokenOffset);
}

} // namespace foxtail::requests
