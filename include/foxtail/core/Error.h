#ifndef foxtail_core_Error_h
#define foxtail_core_Error_h

#include <stdexcept>
#include <string>
#include <string_view>

namespace foxtail {

// Base class of all errors that the library throws. The message has the form
// "[foxtail.FAMILY.ID] WHERE: WHY". The number ID is stable and documented in
// docs/ERRORS.md, where an operator can look it up.
class Error : public std::runtime_error
{
public:
  // The stable number of the error.
  int Id() const noexcept { return mId; }

  // The key path, file, peer address or other place at which the error was
  // found.
  const std::string& Where() const noexcept { return mWhere; }

protected:
  Error(std::string_view aFamily,
        int aId,
        std::string_view aWhere,
        std::string_view aWhy);

private:
  int mId;
  std::string mWhere;
};

// Declares the error family of one layer. A layer converts the errors of lower
// layers into its own before it passes them on.
#define FOXTAIL_ERROR_FAMILY(aName, aFamily)                                   \
  class aName : public Error                                                   \
  {                                                                            \
  public:                                                                      \
    aName(int aId, std::string_view aWhere, std::string_view aWhy)             \
      : Error(aFamily, aId, aWhere, aWhy)                                      \
    {                                                                          \
    }                                                                          \
  }

// Process settings: numbers 100 to 199.
FOXTAIL_ERROR_FAMILY(SettingsError, "settings");
// Configuration documents and patches: numbers 200 to 299.
FOXTAIL_ERROR_FAMILY(ConfigError, "config");
// VM list, failure detection and membership view: numbers 300 to 399.
FOXTAIL_ERROR_FAMILY(MembershipError, "membership");
// Ownership, flow table and upstream choice: numbers 400 to 499.
FOXTAIL_ERROR_FAMILY(RoutingError, "routing");
// Request table, admission and Echo values: numbers 500 to 599.
FOXTAIL_ERROR_FAMILY(RequestError, "request");
// Sockets, encapsulation and CoAP datagrams: numbers 600 to 699.
FOXTAIL_ERROR_FAMILY(NetError, "net");
// Messages between foxtail processes: numbers 700 to 799.
FOXTAIL_ERROR_FAMILY(PeerError, "peer");
// Answers of the platform and of upstream health endpoints: numbers 800 to 899.
FOXTAIL_ERROR_FAMILY(PlatformError, "platform");
// Process start and supervision: numbers 900 to 999.
FOXTAIL_ERROR_FAMILY(DaemonError, "daemon");

} // namespace foxtail

#endif
