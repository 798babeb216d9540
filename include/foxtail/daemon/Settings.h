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

// Ports of the VM, the same on every VM; docs/PROTOCOLS.md describes the
// traffic of each.
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
  // Maximum control traffic that the VM sends, in bytes per second.
  uint32_t mControlBytesPerSecond = 0;
  // How long in-flight requests may still run after a stop signal.
  milliseconds mDrainTime{ 0 };
};

struct TraceSettings
{
  // Path of the trace file; empty turns tracing off.
  std::string mFile;
  uint32_t mSamplePerMillion = 0;
};

// Settings of both daemons of a VM. docs/SETTINGS.md lists keys, units and
// defaults; ParseSettings validates against schemas/settings.schema.json.
struct Settings
{
  VmSettings mVm;
  PortSettings mPorts;
  Address mPlatformAddress;
  Address mFabricReturnAddress;
  LimitSettings mLimits;
  TraceSettings mTrace;

  // Returns the VM's own address with port aPort.
  Address OwnAddress(uint16_t aPort) const { return { mVm.mIp, aPort }; }
};

// Parses the settings in aText; errors name aSource. Throws SettingsError 102
// not JSON, 103 unknown key, 104 missing key, 105 wrong unit, 106 wrong type,
// 107 out of range, 108 bad format, 109 port number used twice.
Settings
ParseSettings(std::string_view aText, std::string_view aSource);

// Parses the settings in the file aPath. Throws SettingsError like
// ParseSettings, and 101 if the file cannot be read.
Settings
LoadSettings(const std::string& aPath);

} // namespace foxtail::daemon

#endif
