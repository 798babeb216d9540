// Simulates several upstreams in one process, each with its own addresses.

#include <iostream>

#include "Endpoint.h"
#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "foxtail/core/Error.h"
#include "foxtail/daemon/Process.h"

ABSL_FLAG(std::string, settings, "", "JSON file with the settings");

namespace foxtail::standins {
namespace {

ServiceTimes
ReadTimes(const Json& aJson)
{
  ServiceTimes times;
  times.mRequest =
    microseconds(aJson.value("request_us", times.mRequest.count()));
  times.mBlock = microseconds(aJson.value("block_us", times.mBlock.count()));
  times.mStragglerShare = aJson.value("straggler_share", times.mStragglerShare);
  times.mStragglerFactor =
    aJson.value("straggler_factor", times.mStragglerFactor);
  times.mColdFactor = aJson.value("cold_factor", times.mColdFactor);
  times.mColdPeriod =
    milliseconds(aJson.value("cold_ms", times.mColdPeriod.count()));
  return times;
}

EndpointSettings
ReadEndpoint(const Json& aJson)
{
  EndpointSettings settings;
  settings.mName = aJson.at("name");
  settings.mService = aJson.at("service");
  settings.mAddress = Address::Parse(aJson.at("address").get<std::string>());
  settings.mReportAddress =
    Address::Parse(aJson.at("report_address").get<std::string>());
  settings.mSlots = aJson.value("slots", settings.mSlots);
  settings.mMaxConnections =
    aJson.value("max_connections", settings.mMaxConnections);
  settings.mQueue = aJson.value("queue", settings.mQueue);
  settings.mTimes = ReadTimes(aJson.value("times", Json::object()));
  return settings;
}

class Upstreams
{
public:
  Upstreams(EventLoop& aLoop, const Json& aSettings)
    : mJournal(aSettings.at("journal").get<std::string>())
  {
    uint64_t seed = aSettings.value("seed", 1U);
    for (const auto& it : aSettings.at("upstreams")) {
      mEndpoints.push_back(
        std::make_unique<Endpoint>(aLoop, mJournal, ReadEndpoint(it), seed++));
    }
  }

  Json Status() const
  {
    Json status = Json::array();
    for (const auto& it : mEndpoints) {
      status.push_back(it->Status());
    }
    return status;
  }

  Json SetFaults(const Json& aBody)
  {
    const std::string name = aBody.at("upstream");
    for (const auto& it : mEndpoints) {
      if (it->Name() == name) {
        it->SetFaults(aBody);
        return it->Status();
      }
    }
    throw SettingsError(103, name, "no such upstream here");
  }

private:
  Journal mJournal;
  std::vector<std::unique_ptr<Endpoint>> mEndpoints;
};

void
Serve(const Json& aSettings)
{
  EventLoop loop;
  loop.StopOnSignals();
  Upstreams upstreams(loop, aSettings);
  AdminServer admin(Address::Parse(aSettings.at("admin").get<std::string>()));
  admin.OnGet("/status", [&](const Json&) {
    const std::lock_guard<std::mutex> lock(loop.Mutex());
    return upstreams.Status();
  });
  admin.OnPost("/fault", [&](const Json& aBody) {
    const std::lock_guard<std::mutex> lock(loop.Mutex());
    return upstreams.SetFaults(aBody);
  });
  admin.Start();
  loop.Run();
}

} // namespace
} // namespace foxtail::standins

int
main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(
    "Serves CoAP requests as upstreams.\n"
    "Settings: admin, journal (file), seed, upstreams [{name, service,\n"
    "address, report_address, slots, max_connections, queue, times\n"
    "{request_us, block_us, straggler_share, straggler_factor, cold_factor,\n"
    "cold_ms}}]. Admin: GET /status; POST /fault {upstream, slow, shed,\n"
    "drain, stop, report_lag_ms, reported_in_flight}.");
  absl::ParseCommandLine(argc, argv);
  try {
    foxtail::daemon::RaiseDescriptorLimit();
    foxtail::standins::Serve(
      foxtail::standins::ReadJsonFile(absl::GetFlag(FLAGS_settings)));
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
  return 0;
}
