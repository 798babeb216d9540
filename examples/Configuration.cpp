// Two operators publish the same patch against the same version. Every process
// that reads both arrives at the same version: the first patch is accepted, the
// second one is refused.
#include "Example.h"

using namespace foxtail;
using namespace foxtail::examples;

int
main()
{
  config::Chain chain;
  chain.Offer(config::Base::FromJson({ { "number", 1U },
                                       { "digest", "0000000000000001" },
                                       { "position", 0U },
                                       { "config", Configuration() } }));

  const nlohmann::json patch = { { { "op", "replace" },
                                   { "path", "/services/0/upstreams/0/slots" },
                                   { "value", 4 } } };
  const nlohmann::json entry = { { "against", 1U }, { "patch", patch } };
  const auto result = std::get<config::Advanced>(
    chain.Offer(config::PatchList{ 0, { entry, entry } }));
  Require(result.mAccepted.size() == 1, "the first patch accepted");
  Require(result.mRefused.size() == 1, "the second patch refused");
  std::printf("%s\n", result.mRefused[0].mReason.c_str());
  Require(chain.Current()->mUpstreams[0].mSlots == 4,
          "the upstream has four slots");

  // Another process gets the configuration from this one.
  config::Chain peer;
  peer.Offer(chain.Answer(peer.Point()));
  Require(peer.Point() == chain.Point(), "the peer has the same version");
}
