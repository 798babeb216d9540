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

// A small HTTP server in threads of its own. Handlers take and give JSON; an
// exception becomes a 400 with its text.
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

  // Starts to answer; call once, after the handlers are set.
  void Start();

private:
  httplib::Server mServer;
  std::thread mThread;
};

// The JSON document in a file; throws SettingsError 101 when it cannot be
// read, 102 when it is no JSON.
Json
ReadJsonFile(const std::string& aPath);

} // namespace foxtail::standins

#endif
