#ifndef PISTACHIOSHIFT_BASE_IDS_H
#define PISTACHIOSHIFT_BASE_IDS_H

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace pistachioshift {

/**
 * \brief Value of type Rep whose type is distinct for each Tag.
 *
 * \tparam Tag incomplete type that names the kind of identifier.
 * \tparam Rep an integer or std::string.
 */
template<class Tag, class Rep>
class StrongId
{
public:
  using RepType = Rep;

  constexpr StrongId() = default;
  constexpr explicit StrongId(Rep aValue)
    : m_value(std::move(aValue))
  {
  }

  constexpr const Rep& Value() const { return m_value; }
  constexpr auto operator<=>(const StrongId&) const = default;

private:
  Rep m_value{};
};

/** \brief Position of a record in a stream of the log service, from 1. */
using Offset = StrongId<struct OffsetTag, int64_t>;

/** \brief Identifies one incarnation of a daemon: offset of its join record. */
using DaemonId = StrongId<struct DaemonIdTag, int64_t>;

/** \brief Random number that identifies a process until it has joined. */
using BootId = StrongId<struct BootIdTag, uint64_t>;

/** \brief Place in the order of succession of an entry; the owner is 0. */
using Rank = StrongId<struct RankTag, uint8_t>;

/** \brief Index of a hash range of a service, from 0 to range count - 1. */
using RangeIndex = StrongId<struct RangeIndexTag, uint32_t>;

using ServiceName = StrongId<struct ServiceNameTag, std::string>;
using SectionName = StrongId<struct SectionNameTag, std::string>;
using TeamName = StrongId<struct TeamNameTag, std::string>;
using ClassName = StrongId<struct ClassNameTag, std::string>;
using HostName = StrongId<struct HostNameTag, std::string>;
using ZoneName = StrongId<struct ZoneNameTag, std::string>;
using RegionName = StrongId<struct RegionNameTag, std::string>;

/**
 * \brief Fencing token of a grant; tokens compare lexicographically.
 *
 * `entry` is the offset of the record that created the entry. `rank` is the
 * holder's place in the entry's order of succession.
 */
struct FenceToken
{
  Offset entry;
  Rank rank;

  auto operator<=>(const FenceToken&) const = default;
};

/** \brief 128-bit identifier of a request, kept across retries and processes.
 */
struct RequestId
{
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const RequestId&) const = default;
};

/**
 * \brief Digest that is the same for equal requests: those with the same
 * method, host, target, key and body. 0: not known.
 */
using RequestFingerprint = StrongId<struct RequestFingerprintTag, uint64_t>;

/** \brief Identifier of an append, unique over all writers and all time. */
struct RecordId
{
  BootId writer;
  uint64_t sequence = 0;

  auto operator<=>(const RecordId&) const = default;
};

/** \brief IP address in text form and TCP or UDP port. */
struct Endpoint
{
  std::string address;
  uint16_t port = 0;

  auto operator<=>(const Endpoint&) const = default;
};

}

template<class Tag, class Rep>
struct std::hash<pistachioshift::StrongId<Tag, Rep>>
{
  size_t operator()(const pistachioshift::StrongId<Tag, Rep>& aId) const
  {
    return std::hash<Rep>()(aId.Value());
  }
};

template<>
struct std::hash<pistachioshift::RequestId>
{
  size_t operator()(const pistachioshift::RequestId& aId) const
  {
    return aId.high ^ aId.low;
  }
};

template<>
struct std::hash<pistachioshift::RecordId>
{
  size_t operator()(const pistachioshift::RecordId& aId) const
  {
    return aId.writer.Value() ^ aId.sequence;
  }
};

template<>
struct std::hash<pistachioshift::Endpoint>
{
  size_t operator()(const pistachioshift::Endpoint& aEndpoint) const
  {
    return std::hash<std::string>()(aEndpoint.address) ^ aEndpoint.port;
  }
};

#endif
