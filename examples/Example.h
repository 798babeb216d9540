#ifndef foxtail_examples_Example_h
#define foxtail_examples_Example_h

#include <cstdio>
#include <cstdlib>
#include <string>

#include "foxtail/foxtail.h"

namespace foxtail::examples {

// Exits with 1 and prints aWhat as the expectation, unless aCondition holds.
inline void
Require(bool aCondition, const std::string& aWhat)
{
  if (!aCondition) {
    std::fprintf(stderr, "expected: %s\n", aWhat.c_str());
    std::exit(1);
  }
}

// A configuration document with one service and two upstreams of three slots.
inline nlohmann::json
Configuration()
{
  nlohmann::json upstreams = nlohmann::json::array();
  for (const std::string it : { "1", "2" }) {
    upstreams.push_back({ { "name", "ledger-" + it },
                          { "domain", "agadir-a" },
                          { "address", "127.1.0.2" + it + ":5683" },
                          { "report_address", "127.1.0.2" + it + ":8080" },
                          { "slots", 3 } });
  }
  return { { "services",
             { { { "name", "ledger" },
                 { "address", "127.1.0.9:5683" },
                 { "upstreams", upstreams } } } } };
}

inline config::SnapshotPtr
MakeSnapshot()
{
  return config::ParseDocument(Configuration(), { 1, 1 });
}

inline FlowKey
MakeFlow()
{
  return { Address::Parse("127.1.0.1:4000"), Address::Parse("127.1.0.9:5683") };
}

// A balancer as a member of the view.
inline membership::Member
MakeMember(const std::string& aName, membership::Incarnation aIncarnation)
{
  const std::string ip = "127.1.1." + std::to_string(aIncarnation);
  membership::Member member;
  member.mName = aName;
  member.mRegion = "souss";
  member.mDomain = "agadir-a";
  member.mIncarnation = aIncarnation;
  member.mHandoffAddress = Address::Parse(ip + ":5691");
  member.mPeerAddress = Address::Parse(ip + ":5692");
  member.mAgentAddress = Address::Parse(ip + ":5693");
  return member;
}

// A confirmable CoAP request with token "a" and without a path; aEcho is the
// Echo option, if not empty.
inline std::string
MakeRequest(uint8_t aCode, char aMessageId, const std::string& aEcho = "")
{
  std::string bytes = { 0x41, static_cast<char>(aCode), 0, aMessageId, 'a' };
  if (!aEcho.empty()) {
    // Option header of RFC 7252: nibbles 13 mean that option delta and length
    // follow in one byte each, reduced by 13.
    bytes += { '\xDD',
               static_cast<char>(coap::kEchoOption - 13),
               static_cast<char>(aEcho.size() - 13) };
    bytes += aEcho;
  }
  return bytes;
}

// An upstream's response to the request aSent, with the payload aText.
inline std::string
MakeAnswer(std::string_view aSent, std::string_view aText)
{
  const coap::Message request = coap::Decode(aSent);
  std::string bytes;
  coap::EncodeResponse({ coap::kContent, "", std::nullopt, aText },
                       coap::Type::Acknowledgement,
                       request.mMessageId,
                       request.mToken,
                       bytes);
  return bytes;
}

} // namespace foxtail::examples

#endif
