#ifndef foxtail_daemon_StatusServer_h
#define foxtail_daemon_StatusServer_h

#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "foxtail/core/Address.h"

namespace foxtail::daemon {

// Query parameters of "/explain?caller=A&service=B" or "/replica?after=N";
// empty if absent.
struct StatusQuery
{
  std::string mCaller;
  std::string mService;
  std::string mAfter;
};

// HTTP server for operators and metrics scrapers: /metrics (text) and JSON
// documents at other paths. Handlers run on the server's own threads.
class StatusServer
{
public:
  static constexpr size_t kDefaultThreads = 2;

  using Handler = std::function<std::string(const StatusQuery&)>;

  // Handles up to aThreads connections at a time.
  explicit StatusServer(size_t aThreads = kDefaultThreads);
  ~StatusServer();

  // Answers GET aPath with the return value of aHandler. If aHandler throws an
  // Error, the response is 400 with its message as {"error": ...}.
  void Serve(const std::string& aPath,
             const std::string& aContentType,
             Handler aHandler);

  // Like Serve, for answers that take long to transfer: while aMaxTransfers of
  // them are in progress, further requests are refused with 503 at once, so
  // that their clients turn to another server.
  void ServeLimited(const std::string& aPath,
                    const std::string& aContentType,
                    size_t aMaxTransfers,
                    Handler aHandler);

  // Throws DaemonError 910 if aAddress cannot be bound.
  void Start(const Address& aAddress);
  void Stop();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace foxtail::daemon

#endif
