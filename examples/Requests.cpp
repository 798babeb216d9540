// A POST request is challenged with an Echo option and runs once; a duplicate
// gets the stored answer.
#include "Example.h"

using namespace foxtail;
using namespace foxtail::examples;

int
main()
{
  requests::RequestSettings settings;
  settings.mEcho.mIncarnation = 7;
  // A real program generates a random key.
  settings.mEcho.mKey = { 1, 2, 3 };
  requests::RequestTable table(settings);
  const FlowKey flow = MakeFlow();
  const Address upstream = Address::Parse("127.1.0.21:5683");
  const TimePoint now{ seconds(1000) };
  const auto receive = [&](const std::string& aBytes) {
    return table.OnRequest(flow,
                           coap::Decode(aBytes),
                           requests::EchoIssuerPresence::Present,
                           now,
                           now + seconds(30));
  };

  const auto challenge =
    std::get<requests::Challenge>(receive(MakeRequest(coap::kPost, 1)));
  const std::string echo(*coap::Decode(challenge.mBytes).mEcho);

  const std::string post = MakeRequest(coap::kPost, 2, echo);
  const auto start = std::get<requests::StartRequest>(receive(post));
  const std::string sent(table.Send(start.mSerial, upstream, now).value());
  Require(std::holds_alternative<requests::InProgress>(receive(post)),
          "a duplicate does not run again");

  const std::string answer = MakeAnswer(sent, "done");
  const auto result = table.OnUpstream(upstream, coap::Decode(answer), now);
  const auto& delivered = std::get<requests::Deliver>(result.mAction);
  Require(coap::Decode(delivered.mBytes).mPayload == "done",
          "the caller gets the upstream's answer");
  Require(std::holds_alternative<requests::ReplayAnswer>(receive(post)),
          "a late duplicate gets the stored answer");
}
