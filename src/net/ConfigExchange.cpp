#include "foxtail/net/ConfigExchange.h"

#include <utility>

namespace foxtail::net {

membership::ConfigProgress
ToProgress(const config::ChainPoint& aPoint)
{
  return { aPoint.mVersion.mNumber, aPoint.mVersion.mDigest, aPoint.mPosition };
}

config::ChainPoint
ToPoint(const membership::ConfigProgress& aProgress)
{
  return { { aProgress.mNumber, aProgress.mDigest }, aProgress.mPosition };
}

ConfigReply
ToReply(config::ChainAnswer aAnswer)
{
  ConfigReply reply;
  reply.mVersion = ToProgress(aAnswer.mPoint);
  reply.mDocumentJson = std::move(aAnswer.mDocument);
  reply.mPatchesJson = std::move(aAnswer.mPatches);
  return reply;
}

config::ChainAnswer
ToAnswer(ConfigReply aReply)
{
  return { ToPoint(aReply.mVersion),
           std::move(aReply.mDocumentJson),
           std::move(aReply.mPatchesJson) };
}

} // namespace foxtail::net
