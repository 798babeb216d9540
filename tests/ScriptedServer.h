#ifndef tests_ScriptedServer_h
#define tests_ScriptedServer_h

#include <atomic>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"

namespace foxtail::test {

// TCP server that answers the first bytes of each connection with the same
// script of writes, one connection at a time. After the script it keeps the
// connection open until the client closes it.
class ScriptedServer
{
public:
  struct Write
  {
    milliseconds mDelay;
    std::string mBytes;
  };

  explicit ScriptedServer(std::vector<Write> aScript)
    : mScript(std::move(aScript))
    , mSocket(socket(AF_INET, SOCK_STREAM, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* raw = reinterpret_cast<sockaddr*>(&address);
    constexpr int kBacklog = 8;
    const bool isListening = bind(mSocket, raw, size) == 0 &&
                             listen(mSocket, kBacklog) == 0 &&
                             getsockname(mSocket, raw, &size) == 0;
    if (!isListening) {
      throw std::runtime_error("cannot listen on a loopback port");
    }
    mAddress = { INADDR_LOOPBACK, ntohs(address.sin_port) };
    mThread = std::thread([this] { Run(); });
  }
  ~ScriptedServer()
  {
    mIsStopped = true;
    mThread.join();
    close(mSocket);
  }

  const Address& ListenAddress() const { return mAddress; }

private:
  static bool IsReadable(int aSocket)
  {
    constexpr int kPollMs = 5;
    pollfd item{ aSocket, POLLIN, 0 };
    return poll(&item, 1, kPollMs) > 0;
  }
  void Run()
  {
    while (!mIsStopped) {
      if (IsReadable(mSocket)) {
        const int connection = accept(mSocket, nullptr, nullptr);
        Answer(connection);
        close(connection);
      }
    }
  }
  void Answer(int aConnection)
  {
    size_t next = 0;
    bool hasRequest = false;
    while (!mIsStopped) {
      char buf[1024];
      const bool isReadable = IsReadable(aConnection);
      if (isReadable && recv(aConnection, buf, sizeof(buf), 0) <= 0) {
        return;
      }
      hasRequest = hasRequest || isReadable;
      if (hasRequest && next < mScript.size()) {
        std::this_thread::sleep_for(mScript[next].mDelay);
        const std::string& bytes = mScript[next].mBytes;
        if (send(aConnection, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
          return;
        }
        ++next;
      }
    }
  }

  const std::vector<Write> mScript;
  int mSocket;
  Address mAddress;
  std::atomic<bool> mIsStopped{ false };
  std::thread mThread;
};

} // namespace foxtail::test

#endif
