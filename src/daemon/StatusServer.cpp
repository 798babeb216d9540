#include "foxtail/daemon/StatusServer.h"

#include <atomic>

#include <httplib.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>

#include "foxtail/core/Error.h"

namespace foxtail::daemon {

namespace {

constexpr size_t kThreadCount = 4;
// Connections that wait to be accepted. The default of httplib is 5; further
// ones would be retried by their clients only after a second.
constexpr int kBacklog = 128;

} // namespace

struct StatusServer::Impl
{
  httplib::Server mServer;
  // The listening socket, once bound.
  std::atomic<int> mSocket{ -1 };
  std::thread mThread;
};

StatusServer::StatusServer()
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mServer.new_task_queue = [] {
    return new httplib::ThreadPool(kThreadCount);
  };
  mImpl->mServer.set_socket_options([this](int aSocket) {
    httplib::default_socket_options(aSocket);
    mImpl->mSocket = aSocket;
  });
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
  // The library has started to listen with its own backlog.
  listen(mImpl->mSocket, kBacklog);
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
