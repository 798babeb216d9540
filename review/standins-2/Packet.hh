#ifndef review2_Packet_hh
#define review2_Packet_hh

// The packet head of the platform's pages, with a keyed sum over all fields but
// echo, pad and the flag BOUNCED.

#include <cstdint>
#include <string>

#include "Net.hh"

constexpr uint8_t kSyn = 128;
constexpr uint8_t kAck = 32;
constexpr uint8_t kFin = 8;
constexpr uint8_t kRst = 2;
constexpr size_t kHead = 36;

struct Packet
{
  Addr src;
  Addr dst;
  uint8_t flags = 0;
  uint32_t seq = 0;
  uint32_t ack = 0;
  uint32_t echo = 0;
  uint32_t sum = 0;
  std::string data;

  uint32_t Sum() const
  {
    uint64_t h = 0x5eed1234abcd9876;
    const auto mix = [&](uint64_t v) {
      h = (h ^ v) * 0x100000001b3 + (h >> 29);
    };
    for (const uint64_t v : { uint64_t{ src.ip },
                              uint64_t{ src.port },
                              uint64_t{ dst.ip },
                              uint64_t{ dst.port },
                              uint64_t{ flags },
                              uint64_t{ seq },
                              uint64_t{ ack },
                              uint64_t{ data.size() } }) {
      mix(v);
    }
    for (const char c : data) {
      mix(static_cast<uint8_t>(c));
    }
    return static_cast<uint32_t>(h ^ (h >> 32)) | 1U;
  }

  std::string Encode() const
  {
    std::string out;
    const auto put = [&](uint64_t v, int n) {
      for (int i = n - 1; i >= 0; --i) {
        out.push_back(static_cast<char>(v >> (8 * i)));
      }
    };
    put(data.size(), 2);
    put(dst.ip, 4);
    put(src.port, 2);
    put(dst.port, 2);
    put(src.ip, 4);
    put(flags, 1);
    put(0, 5);
    put(seq, 4);
    put(ack, 4);
    put(echo, 4);
    put(Sum(), 4);
    return out + data;
  }

  static bool Decode(const std::string& in, Packet& out)
  {
    if (in.size() < kHead) {
      return false;
    }
    const auto get = [&](size_t at, int n) {
      uint64_t v = 0;
      for (int i = 0; i < n; ++i) {
        v = v << 8 | static_cast<uint8_t>(in[at + i]);
      }
      return v;
    };
    out.dst = { static_cast<uint32_t>(get(2, 4)),
                static_cast<uint16_t>(get(8, 2)) };
    out.src = { static_cast<uint32_t>(get(10, 4)),
                static_cast<uint16_t>(get(6, 2)) };
    out.flags = static_cast<uint8_t>(get(14, 1));
    out.seq = static_cast<uint32_t>(get(20, 4));
    out.ack = static_cast<uint32_t>(get(24, 4));
    out.echo = static_cast<uint32_t>(get(28, 4));
    out.sum = static_cast<uint32_t>(get(32, 4));
    out.data = in.substr(kHead);
    return out.data.size() == get(0, 2);
  }
};

#endif
