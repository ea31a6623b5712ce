#include "src/Ownership/Node.h"

#include "src/Ownership/NodeImpl.h"

namespace pistachioshift {

Node::Node(DaemonId aSelf,
           OwnershipView aView,
           NodeSettings aSettings,
           RandomEngine aRandom,
           MonoTime aNow)
  : m_impl(
      std::make_unique<Impl>(aSelf, std::move(aView), aSettings, aRandom, aNow))
{
}

Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;
Node::~Node() = default;

Verdict
Node::OnRecord(Offset aOffset, const OwnershipRecord& aRecord, MonoTime aNow)
{
  return m_impl->OnRecord(aOffset, aRecord, aNow);
}

void
Node::OnMessage(DaemonId aFrom, const ControlMessage& aMessage, MonoTime aNow)
{
  m_impl->OnMessage(aFrom, aMessage, aNow);
}

void
Node::OnTick(MonoTime aNow)
{
  m_impl->OnTick(aNow);
}

void
Node::OnEntryIdle(const EntryKey& aKey, MonoTime aNow)
{
  m_impl->OnEntryIdle(aKey, aNow);
}

void
Node::SetDocumentApplied(Offset aOffset)
{
  m_impl->applied.document = aOffset;
}

void
Node::SetFenceWaits(std::map<ServiceName, Duration> aWaits)
{
  m_impl->fenceWaits = std::move(aWaits);
}

void
Node::BeginLeave(MonoTime aNow)
{
  m_impl->BeginLeave(aNow);
}

bool
Node::Left() const
{
  return m_impl->left;
}

std::vector<Effect>
Node::TakeEffects()
{
  return std::exchange(m_impl->effects, {});
}

std::optional<FenceToken>
Node::MayServe(const EntryKey& aKey, MonoTime aNow) const
{
  return m_impl->MayServe(aKey, aNow);
}

MonoTime
Node::LeaseEnd() const
{
  return m_impl->leaseholder.FirmLeaseEnd();
}

const AppliedOffsets&
Node::HighestPeerOffsets() const
{
  return m_impl->peerOffsets;
}

std::vector<HeldEntry>
Node::Held() const
{
  return m_impl->Held();
}

DaemonId
Node::Self() const
{
  return m_impl->self;
}

const OwnershipView&
Node::View() const
{
  return m_impl->view;
}

}
