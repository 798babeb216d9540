#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>

namespace {

std::string
ReadText(const std::filesystem::path& aPath)
{
  std::ifstream file(aPath);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// The numbers matched by the first group of aPattern in aText.
std::set<int>
FindNumbers(const std::string& aText, const std::string& aPattern)
{
  const std::regex pattern(aPattern);
  std::set<int> numbers;
  for (std::sregex_iterator it(aText.begin(), aText.end(), pattern), end;
       it != end;
       ++it) {
    numbers.insert(std::stoi((*it)[1]));
  }
  return numbers;
}

} // namespace

TEST_CASE(
  "docs/ERRORS.md lists exactly the error numbers that the sources declare",
  "[errors]")
{
  const std::filesystem::path root = FOXTAIL_SOURCE_DIR;
  std::set<int> thrown;
  for (const char* it : { "config/Document.cpp",
                          "config/PatchTransaction.cpp",
                          "config/Chain.cpp",
                          "daemon/Settings.cpp",
                          "daemon/CommandLine.cpp",
                          "net/HttpCaller.cpp",
                          "net/PlatformClient.cpp",
                          "../platform/Entries.cpp",
                          "../platform/NodeSettings.cpp",
                          "../platform/StoreClient.cpp",
                          "ctl/Command.cpp",
                          "ctl/Source.cpp" }) {
    thrown.merge(FindNumbers(ReadText(root / "src" / it),
                             "constexpr int k[A-Za-z]+ = ([0-9]{3});"));
  }
  // HTTP status codes have constants of the same form.
  for (const int it : { 200, 304, 404, 410 }) {
    thrown.erase(it);
  }
  // Only the first number of the schema faults of a family has a constant. The
  // other numbers follow it.
  for (const int it : { 104, 105, 106, 107, 204, 205, 206, 207 }) {
    thrown.insert(it);
  }
  // The error families of the sources above: 1xx, 2xx, 8xx, 95x and 96x.
  const std::string page = ReadText(root / "docs" / "ERRORS.md");
  CHECK(FindNumbers(page, "\\| ([12][0-9]{2}|8[0-9]{2}|9[56][0-9]) \\|") ==
        thrown);
}
