#ifndef foxtail_flow_Revision_h
#define foxtail_flow_Revision_h

#include <cstdint>
#include <string>

namespace foxtail::flow {

// Position in the publisher's sequence of changes. The upper 16 bits hold the
// era, the number of times that the publisher was restored from a copy; the
// lower 48 bits hold the publisher's own number of the change, which it gives
// out again after a restore.
using Revision = uint64_t;

constexpr unsigned kRevisionNumberBits = 48;
constexpr uint64_t kMaxRevisionNumber = (1ULL << kRevisionNumberBits) - 1;
constexpr uint64_t kMaxEra = (1ULL << (64 - kRevisionNumberBits)) - 1;

// aEra and aNumber must not exceed kMaxEra and kMaxRevisionNumber.
constexpr Revision
MakeRevision(uint64_t aEra, uint64_t aNumber)
{
  return (aEra << kRevisionNumberBits) | aNumber;
}

constexpr uint64_t
EraOf(Revision aRevision)
{
  return aRevision >> kRevisionNumberBits;
}

constexpr uint64_t
NumberOf(Revision aRevision)
{
  return aRevision & kMaxRevisionNumber;
}

// Returns the text for log lines: the number, preceded by the era and a dot
// unless the era is zero.
std::string
FormatRevision(Revision aRevision);

} // namespace foxtail::flow

#endif
