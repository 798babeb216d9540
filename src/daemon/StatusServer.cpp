#include "foxtail/daemon/StatusServer.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "foxtail/core/Error.h"

namespace foxtail::daemon {

namespace {

constexpr size_t kThreadCount = 2;

} // namespace

struct StatusServer::Impl
{
  httplib::Server mServer;
  std::thread mThread;
};

StatusServer::StatusServer()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mServer.new_task_queue = [] {
    return new httplib::ThreadPool(kThreadCount);
  };
}

StatusServer::~StatusServer()
{
  Stop();
}

void
StatusServer::Serve(const std::string& aPath,
                    const std::string& aContentType,
                    Handler aHandler)
{
  mImpl->mServer.Get(
    aPath,
    [aContentType, handler = std::move(aHandler)](
      const httplib::Request& aRequest, httplib::Response& aResponse) {
      try {
        const StatusQuery query{ aRequest.get_param_value("caller"),
                                 aRequest.get_param_value("service"),
                                 aRequest.get_param_value("after") };
        aResponse.set_content(handler(query), aContentType);
      } catch (const Error& e) {
        aResponse.status = 400;
        aResponse.set_content(nlohmann::json{ { "error", e.what() } }.dump(),
                              "application/json");
      }
    });
}

void
StatusServer::Start(const Address& aAddress)
{
  if (!mImpl->mServer.bind_to_port(aAddress.IpString().c_str(),
                                   aAddress.mPort)) {
    throw DaemonError(910,
                      aAddress.ToString(),
                      "cannot bind the HTTP port for status requests");
  }
  mImpl->mThread = std::thread([this] { mImpl->mServer.listen_after_bind(); });
}

void
StatusServer::Stop()
{
  if (!mImpl->mThread.joinable()) {
    return;
  }
  mImpl->mServer.stop();
  mImpl->mThread.join();
}

} // namespace foxtail::daemon
