#include "foxtail/daemon/StatusServer.h"

#include <atomic>
#include <optional>

#include <httplib.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>

#include "foxtail/core/Error.h"

namespace foxtail::daemon {

namespace {

constexpr int kBusyStatus = 503;
// Connections that wait to be accepted. The default of httplib is 5; further
// ones would be retried by their clients only after a second.
constexpr int kBacklog = 128;

void
SetError(httplib::Response& aResponse, int aStatus, const std::string& aText)
{
  aResponse.status = aStatus;
  aResponse.set_content(nlohmann::json{ { "error", aText } }.dump(),
                        "application/json");
}

// Returns the handler's answer. If the handler throws an Error, sets it in the
// response and returns nothing.
std::optional<std::string>
CallHandler(const StatusServer::Handler& aHandler,
            const httplib::Request& aRequest,
            httplib::Response& aResponse)
{
  constexpr int kBadRequest = 400;
  try {
    return aHandler({ aRequest.get_param_value("caller"),
                      aRequest.get_param_value("service"),
                      aRequest.get_param_value("after") });
  } catch (const Error& e) {
    SetError(aResponse, kBadRequest, e.what());
    return std::nullopt;
  }
}

} // namespace

struct StatusServer::Impl
{
  httplib::Server mServer;
  // The listening socket, once bound.
  std::atomic<int> mSocket{ -1 };
  std::thread mThread;
};

StatusServer::StatusServer(size_t aThreads)
  : mImpl(std::make_unique<Impl>())
{
  mImpl->mServer.new_task_queue = [aThreads] {
    return new httplib::ThreadPool(aThreads);
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
      if (const auto body = CallHandler(handler, aRequest, aResponse)) {
        aResponse.set_content(*body, aContentType);
      }
    });
}

void
StatusServer::ServeLimited(const std::string& aPath,
                           const std::string& aContentType,
                           size_t aMaxTransfers,
                           Handler aHandler)
{
  const auto active = std::make_shared<std::atomic<size_t>>(0);
  mImpl->mServer.Get(
    aPath,
    [=, handler = std::move(aHandler)](const httplib::Request& aRequest,
                                       httplib::Response& aResponse) {
      // Counts the transfer until the response is destroyed.
      const std::shared_ptr<void> transfer(nullptr,
                                           [active](void*) { --*active; });
      if (++*active > aMaxTransfers) {
        SetError(aResponse, kBusyStatus, "busy with other transfers");
        return;
      }
      auto body = CallHandler(handler, aRequest, aResponse);
      if (!body) {
        return;
      }
      aResponse.set_chunked_content_provider(
        aContentType,
        [text = std::move(*body), transfer](size_t, httplib::DataSink& aSink) {
          const bool isSent = aSink.write(text.data(), text.size());
          aSink.done();
          return isSent;
        });
    });
}

void
StatusServer::Start(const Address& aAddress)
{
  // The library listens with a backlog of its own once it has bound the port;
  // listening again replaces the backlog.
  const bool isListening =
    mImpl->mServer.bind_to_port(aAddress.IpString().c_str(), aAddress.mPort) &&
    listen(mImpl->mSocket, kBacklog) == 0;
  if (!isListening) {
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
