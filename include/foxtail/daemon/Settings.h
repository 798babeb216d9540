#ifndef foxtail_daemon_Settings_h
#define foxtail_daemon_Settings_h

#include <cstdint>
#include <string>
#include <string_view>

#include "foxtail/core/Address.h"
#include "foxtail/core/Time.h"

namespace foxtail::daemon {

// Identity of the VM.
struct VmSettings
{
  std::string mName;
  std::string mRegion;
  std::string mDomain;
  // IPv4 address in host byte order.
  uint32_t mIp = 0;
};

// Ports of the VM, the same on every VM; docs/PROTOCOLS.md says what each
// carries.
struct PortSettings
{
  uint16_t mFabric = 0;
  uint16_t mHandoff = 0;
  uint16_t mPeer = 0;
  uint16_t mAgent = 0;
  uint16_t mLocal = 0;
  uint16_t mUpstream = 0;
  uint16_t mBalancerHttp = 0;
  uint16_t mAgentHttp = 0;
};

struct LimitSettings
{
  // Bytes a second of control traffic that the VM sends at most.
  uint32_t mControlBytesPerSecond = 0;
  // Time that in-flight requests get after a stop signal.
  milliseconds mDrainTime{ 0 };
};

struct TraceSettings
{
  // Empty for no trace.
  std::string mFile;
  uint32_t mSamplePerMillion = 0;
};

// Settings of both daemons of a VM. docs/SETTINGS.md lists keys, units and
// defaults; schemas/settings.schema.json is what they are checked against.
struct Settings
{
  VmSettings mVm;
  PortSettings mPorts;
  Address mPlatformAddress;
  Address mFabricReturnAddress;
  LimitSettings mLimits;
  TraceSettings mTrace;

  // One of the VM's own addresses.
  Address OwnAddress(uint16_t aPort) const { return { mVm.mIp, aPort }; }
};

// Reads the settings in aText, naming aSource in errors. Throws SettingsError
// 102 not JSON, 103 unknown key, 104 missing key, 105 wrong unit, 106 wrong
// type, 107 out of range, 108 bad format, 109 two ports alike.
Settings
ParseSettings(std::string_view aText, std::string_view aSource);

// Reads the settings in the file aPath. Throws SettingsError as ParseSettings
// does, and 101 when the file cannot be read.
Settings
LoadSettings(const std::string& aPath);

} // namespace foxtail::daemon

#endif
