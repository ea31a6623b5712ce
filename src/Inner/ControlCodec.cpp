#include "src/Inner/ControlCodec.h"

#include "src/Inner/ThriftCodec.h"
#include "src/Inner/WireOwnership.h"
#include "src/Inner/gen/control_types.h"

namespace pistachioshift {

namespace internal {
wire::WireApplied
ToWire(const AppliedOffsets& aApplied)
{
  wire::WireApplied applied;
  applied.ownership = aApplied.ownership.Value();
  applied.document = aApplied.document.Value();
  return applied;
}

AppliedOffsets
FromWire(const wire::WireApplied& aApplied)
{
  return AppliedOffsets{ Offset(aApplied.ownership),
                         Offset(aApplied.document) };
}

wire::WireRelease
ToWire(const std::vector<ReleaseItem>& aItems)
{
  wire::WireRelease release;
  for (const auto& item : aItems) {
    wire::WireReleaseItem wireItem;
    wireItem.key = ToWire(item.key);
    wireItem.below = item.below.Value();
    release.items.push_back(std::move(wireItem));
  }
  return release;
}

std::vector<ReleaseItem>
FromWire(const wire::WireRelease& aRelease)
{
  if (aRelease.items.size() > kMaxReleaseItems) {
    throw InnerError("too many items in a release message");
  }
  std::vector<ReleaseItem> items;
  items.reserve(aRelease.items.size());
  for (const auto& item : aRelease.items) {
    items.push_back(ReleaseItem{ FromWire(item.key), Offset(item.below) });
  }
  return items;
}

/** Sets the union field that corresponds to the message type. */
struct MessageWriter
{
  wire::WireControlMessage& message;

  void operator()(const Renew& aRenew) const
  {
    wire::WireRenew renew;
    renew.sequence = static_cast<int64_t>(aRenew.sequence);
    renew.set_ = aRenew.set.Value();
    renew.version = aRenew.version.Value();
    renew.applied = ToWire(aRenew.applied);
    message.__set_renew(renew);
  }

  void operator()(const RenewAck& aAck) const
  {
    wire::WireRenewAck ack;
    ack.sequence = static_cast<int64_t>(aAck.sequence);
    ack.version = aAck.version.Value();
    ack.firm = aAck.firm;
    ack.sealed = aAck.sealed;
    ack.applied = ToWire(aAck.applied);
    message.__set_renewAck(ack);
  }

  void operator()(const SilenceReport& aSilence) const
  {
    wire::WireSilence silence;
    silence.ward = aSilence.leaseholder.Value();
    silence.applied = ToWire(aSilence.applied);
    message.__set_silence(silence);
  }

  void operator()(const SealRequest& aRequest) const
  {
    wire::WireSealRequest request;
    request.ward = aRequest.leaseholder.Value();
    message.__set_sealRequest(request);
  }

  void operator()(const SealReply& aReply) const
  {
    wire::WireSealReply reply;
    reply.ward = aReply.leaseholder.Value();
    reply.version = aReply.version.Value();
    message.__set_sealReply(reply);
  }

  void operator()(const ReleaseQuery& aQuery) const
  {
    message.__set_releaseQuery(ToWire(aQuery.items));
  }

  void operator()(const ReleaseReply& aReply) const
  {
    message.__set_releaseReply(ToWire(aReply.items));
  }
};

ControlMessage
FromWire(const wire::WireControlMessage& aMessage)
{
  const auto& isset = aMessage.__isset;
  if (isset.renew) {
    const auto& renew = aMessage.renew;
    return Renew{ static_cast<uint64_t>(renew.sequence),
                  Offset(renew.set_),
                  Offset(renew.version),
                  FromWire(renew.applied) };
  }
  if (isset.renewAck) {
    const auto& ack = aMessage.renewAck;
    return RenewAck{ static_cast<uint64_t>(ack.sequence),
                     Offset(ack.version),
                     ack.firm,
                     ack.sealed,
                     FromWire(ack.applied) };
  }
  if (isset.silence) {
    const auto& silence = aMessage.silence;
    return SilenceReport{ DaemonId(silence.ward), FromWire(silence.applied) };
  }
  if (isset.sealRequest) {
    return SealRequest{ DaemonId(aMessage.sealRequest.ward) };
  }
  if (isset.sealReply) {
    const auto& reply = aMessage.sealReply;
    return SealReply{ DaemonId(reply.ward), Offset(reply.version) };
  }
  if (isset.releaseQuery) {
    return ReleaseQuery{ FromWire(aMessage.releaseQuery) };
  }
  if (isset.releaseReply) {
    return ReleaseReply{ FromWire(aMessage.releaseReply) };
  }
  throw InnerError("unknown control message type");
}

}

std::string
EncodeControl(const ControlDatagram& aDatagram)
{
  wire::WireDatagram datagram;
  datagram.sender = aDatagram.sender.Value();
  datagram.addressee = aDatagram.addressee.Value();
  std::visit(internal::MessageWriter{ datagram.message }, aDatagram.message);
  return internal::EncodeWire(datagram);
}

ControlDatagram
DecodeControl(std::string_view aBytes)
{
  const auto datagram = internal::DecodeWire<wire::WireDatagram>(aBytes);
  return ControlDatagram{ DaemonId(datagram.sender),
                          DaemonId(datagram.addressee),
                          internal::FromWire(datagram.message) };
}

}
