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
  // UDP, datagrams from the fabric.
  uint16_t mFabric = 0;
  // UDP, datagrams forwarded by peers.
  uint16_t mHandoff = 0;
  // TCP, flow records from peers.
  uint16_t mPeer = 0;
  // UDP, membership probes; TCP, configuration requests.
  uint16_t mAgent = 0;
  // TCP, the agent's answers to its own balancer.
  uint16_t mLocal = 0;
  // UDP, source port of requests to upstreams.
  uint16_t mUpstream = 0;
  // HTTP server of the balancer: metrics, status and explain.
  uint16_t mBalancerHttp = 0;
  // HTTP server of the agent: metrics, status and configuration.
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
  // Traced requests per million.
  uint32_t mSamplePerMillion = 0;
};

// Settings of both daemons of a VM. docs/SETTINGS.md lists keys, units and
// defaults; ParseSettings validates against schemas/settings.schema.json.
struct Settings
{
  VmSettings mVm;
  PortSettings mPorts;
  // HTTP address of the platform's configuration service.
  Address mPlatformAddress;
  // UDP address of the fabric that takes answers to callers.
  Address mFabricReturnAddress;
  LimitSettings mLimits;
  TraceSettings mTrace;

  // Returns the VM's own address with port aPort.
  Address OwnAddress(uint16_t aPort) const { return { mVm.mIp, aPort }; }
};

// Parses the settings in aText. Throws SettingsError 102 not JSON, 103 unknown
// key, 104 missing key, 105 key with a missing or wrong unit suffix, 106 wrong
// type, 107 out of range, 108 bad format, 109 port number used twice. Errors
// name aSource, except 108 for a malformed address and 109, which name only the
// key.
Settings
ParseSettings(std::string_view aText, std::string_view aSource);

// Parses the settings in the file aPath. Throws SettingsError like
// ParseSettings, and 101 if the file cannot be read.
Settings
LoadSettings(const std::string& aPath);

} // namespace foxtail::daemon

#endif
