#include "ctl/Difference.h"

#include <map>

#include "absl/strings/str_cat.h"

#include "foxtail/config/Document.h"

namespace foxtail::ctl {

namespace {

using nlohmann::json;

// Services and upstreams by their description, such as "service ledger". Each
// value has the keys of that item alone: services are without "upstreams".
using Items = std::map<std::string, json>;

Items
ItemsOf(const config::Snapshot& aSnapshot)
{
  Items items;
  json document = config::ToJson(aSnapshot);
  for (json& service : document["services"]) {
    const std::string name = service["name"];
    for (json& it : service["upstreams"]) {
      const std::string upstream = it["name"];
      items[absl::StrCat("upstream ", upstream, " of ", name)] = std::move(it);
    }
    service.erase("upstreams");
    items[absl::StrCat("service ", name)] = std::move(service);
  }
  return items;
}

void
CompareKeys(const std::string& aItem,
            const json& aBefore,
            const json& aAfter,
            std::vector<Change>& aChanges)
{
  for (const auto& it : aBefore.items()) {
    const json& after = aAfter.at(it.key());
    if (it.value() != after) {
      aChanges.push_back({ Change::Kind::Changed,
                           aItem,
                           it.key(),
                           it.value().dump(),
                           after.dump() });
    }
  }
}

const char*
KindName(Change::Kind aKind)
{
  switch (aKind) {
    case Change::Kind::Added:
      return "added";
    case Change::Kind::Removed:
      return "removed";
    case Change::Kind::Changed:
      break;
  }
  return "changed";
}

} // namespace

std::vector<Change>
Compare(const config::Snapshot& aBefore, const config::Snapshot& aAfter)
{
  const Items before = ItemsOf(aBefore);
  const Items after = ItemsOf(aAfter);
  std::vector<Change> changes;
  for (const auto& [item, value] : before) {
    const auto it = after.find(item);
    if (it == after.end()) {
      changes.push_back({ Change::Kind::Removed, item, "", "", "" });
    } else {
      CompareKeys(item, value, it->second, changes);
    }
  }
  for (const auto& it : after) {
    if (before.count(it.first) == 0) {
      changes.push_back({ Change::Kind::Added, it.first, "", "", "" });
    }
  }
  return changes;
}

json
ToJson(const std::vector<Change>& aChanges)
{
  json list = json::array();
  for (const Change& it : aChanges) {
    json change = { { "kind", KindName(it.mKind) }, { "what", it.mItem } };
    if (it.mKind == Change::Kind::Changed) {
      change["key"] = it.mKey;
      change["before"] = json::parse(it.mBefore);
      change["after"] = json::parse(it.mAfter);
    }
    list.push_back(std::move(change));
  }
  return list;
}

std::string
ToText(const std::vector<Change>& aChanges)
{
  std::string text;
  for (const Change& it : aChanges) {
    absl::StrAppend(&text, "  ", it.mItem, ": ", KindName(it.mKind));
    if (it.mKind == Change::Kind::Changed) {
      absl::StrAppend(
        &text, " ", it.mKey, " from ", it.mBefore, " to ", it.mAfter);
    }
    absl::StrAppend(&text, "\n");
  }
  return text;
}

} // namespace foxtail::ctl
