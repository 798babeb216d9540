#include "absl/strings/str_cat.h"

#include "ctl/Command.h"
#include "ctl/Difference.h"
#include "ctl/Source.h"
#include "foxtail/daemon/CommandLine.h"

namespace foxtail::ctl {

namespace {

std::string
UpstreamLine(const config::Upstream& aUpstream)
{
  std::string line = absl::StrCat("  ",
                                  aUpstream.mName,
                                  " in ",
                                  aUpstream.mDomain,
                                  " at ",
                                  aUpstream.mAddress.ToString(),
                                  ", ",
                                  aUpstream.mSlots,
                                  " slots");
  if (aUpstream.mMaxConnections != 0) {
    absl::StrAppend(
      &line, ", ", aUpstream.mMaxConnections, " connections at most");
  }
  if (aUpstream.mDraining) {
    absl::StrAppend(&line, ", draining");
  }
  return line;
}

std::string
TextOf(const config::ChainPoint& aPoint, const config::Snapshot& aSnapshot)
{
  std::string text;
  if (aPoint.mVersion.mNumber != 0) {
    text = absl::StrCat("version ",
                        aPoint.mVersion.mNumber,
                        ", digest ",
                        config::DigestText(aPoint.mVersion.mDigest),
                        ", ",
                        aPoint.mPosition,
                        " patches read\n");
  }
  for (const config::Service& s : aSnapshot.mServices) {
    absl::StrAppend(&text,
                    "service ",
                    s.mName,
                    " at ",
                    s.mAddress.ToString(),
                    ", timeout ",
                    s.mTimeout.count(),
                    " ms, flow idle time-out ",
                    s.mFlowIdle.count(),
                    " ms\n");
    for (const config::UpstreamIndex it : s.mUpstreams) {
      absl::StrAppend(&text, UpstreamLine(aSnapshot.mUpstreams[it]), "\n");
    }
  }
  return text;
}

config::SnapshotPtr
SnapshotOf(const config::Base& aBase)
{
  return config::ParseDocument(aBase.mConfig, aBase.mPoint.mVersion);
}

} // namespace

CommandResult
ShowConfig(const Arguments& aArguments, const Options& aOptions)
{
  RequireArguments(
    aArguments, 0, "config show with --config=FILE or --agent=IP:PORT");
  const config::Base base = ReadConfig(aOptions);
  const config::SnapshotPtr snapshot = SnapshotOf(base);
  CommandResult result;
  result.mJson =
    base.mPoint.mVersion.mNumber == 0 ? base.mConfig : base.ToJson();
  result.mText = TextOf(base.mPoint, *snapshot);
  return result;
}

CommandResult
DiffConfigs(const Arguments& aArguments)
{
  RequireArguments(aArguments, 2, "config diff A B");
  const std::vector<Change> changes =
    Compare(*SnapshotOf(ReadConfigFile(aArguments[0])),
            *SnapshotOf(ReadConfigFile(aArguments[1])));
  CommandResult result;
  result.mExit = changes.empty() ? daemon::kExitOk : daemon::kExitFailed;
  result.mJson = { { "changes", ToJson(changes) } };
  result.mText = changes.empty() ? "no difference\n" : ToText(changes);
  return result;
}

} // namespace foxtail::ctl
