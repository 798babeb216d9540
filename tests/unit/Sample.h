#ifndef foxtail_tests_unit_Sample_h
#define foxtail_tests_unit_Sample_h

#include <functional>
#include <string>

#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace foxtail::test {

// A valid document of aServices services with aUpstreams upstreams each.
inline nlohmann::json
MakeDocument(size_t aServices, size_t aUpstreams)
{
  nlohmann::json services = nlohmann::json::array();
  for (size_t s = 0; s < aServices; ++s) {
    nlohmann::json upstreams = nlohmann::json::array();
    for (size_t u = 0; u < aUpstreams; ++u) {
      const std::string ip = absl::StrCat("127.20.", s / 200, ".", s % 200 + 1);
      upstreams.push_back({ { "name", absl::StrCat("s", s, "-", u) },
                            { "domain", "agadir-a" },
                            { "address", absl::StrCat(ip, ":", 6000 + u) },
                            { "report_address", absl::StrCat(ip, ":8080") },
                            { "slots", 3 },
                            { "max_connections", 2000 } });
    }
    const std::string address =
      absl::StrCat("127.10.", s / 200, ".", s % 200 + 1, ":5683");
    services.push_back({ { "name", absl::StrCat("s", s) },
                         { "address", address },
                         { "timeout_ms", 30000 },
                         { "upstreams", std::move(upstreams) } });
  }
  return { { "services", std::move(services) } };
}

// Returns the number of the error of type E that aCall throws, or 0 if it
// throws none. aMessage receives the text of the error.
template<typename E>
int
ErrorOf(const std::function<void()>& aCall, std::string& aMessage)
{
  try {
    aCall();
  } catch (const E& e) {
    aMessage = e.what();
    return e.Id();
  }
  return 0;
}

} // namespace foxtail::test

#endif
