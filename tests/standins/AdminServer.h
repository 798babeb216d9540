#ifndef foxtail_standins_AdminServer_h
#define foxtail_standins_AdminServer_h

#include <functional>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "foxtail/core/Address.h"

namespace foxtail::standins {

using Json = nlohmann::json;

// An HTTP server that runs in its own threads. Handlers receive and return
// JSON; an exception thrown by a handler becomes a 400 response with its text.
class AdminServer
{
public:
  using Handler = std::function<Json(const Json&)>;

  // Throws NetError 602 when the address cannot be bound.
  explicit AdminServer(const Address& aListen);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  void OnGet(const std::string& aPath, Handler aHandler);
  void OnPost(const std::string& aPath, Handler aHandler);

  // Starts serving; call once, after the handlers are set.
  void Start();

private:
  httplib::Server mServer;
  std::thread mThread;
};

// Reads a JSON document from a file. Throws SettingsError 101 when the file
// cannot be read, 102 when it is not valid JSON.
Json
ReadJsonFile(const std::string& aPath);

} // namespace foxtail::standins

#endif
