#include "AdminServer.h"

#include <fstream>

#include "foxtail/core/Error.h"

namespace foxtail::standins {

namespace {

constexpr size_t kThreads = 2;

httplib::Server::Handler
Wrap(AdminServer::Handler aHandler)
{
  return [handler = std::move(aHandler)](const httplib::Request& aRequest,
                                         httplib::Response& aResponse) {
    try {
      const Json body =
        aRequest.body.empty() ? Json::object() : Json::parse(aRequest.body);
      aResponse.set_content(handler(body).dump(), "application/json");
    } catch (const std::exception& e) {
      aResponse.status = 400;
      aResponse.set_content(e.what(), "text/plain");
    }
  };
}

} // namespace

AdminServer::AdminServer(const Address& aListen)
{
  mServer.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  // A persistent connection would occupy one of the kThreads threads.
  mServer.set_keep_alive_max_count(1);
  if (!mServer.bind_to_port(aListen.IpString().c_str(), aListen.mPort)) {
    throw NetError(602, aListen.ToString(), "cannot be bound");
  }
}

AdminServer::~AdminServer()
{
  mServer.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
AdminServer::OnGet(const std::string& aPath, Handler aHandler)
{
  mServer.Get(aPath, Wrap(std::move(aHandler)));
}

void
AdminServer::OnPost(const std::string& aPath, Handler aHandler)
{
  mServer.Post(aPath, Wrap(std::move(aHandler)));
}

void
AdminServer::Start()
{
  mThread = std::thread([this] { mServer.listen_after_bind(); });
}

Json
ReadJsonFile(const std::string& aPath)
{
  std::ifstream in(aPath);
  if (!in) {
    throw SettingsError(101, aPath, "cannot be read");
  }
  try {
    return Json::parse(in);
  } catch (const Json::exception& e) {
    throw SettingsError(102, aPath, e.what());
  }
}

} // namespace foxtail::standins
