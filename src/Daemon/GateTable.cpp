#include "src/Daemon/GateTable.h"

#include <algorithm>

namespace pistachioshift {

struct GateTable::ServiceGate
{
  explicit ServiceGate(AdmissionSettings aSettings)
    : gate(std::move(aSettings))
  {
  }

  AdmissionController gate;
  std::unique_ptr<Timer> wakeup;
};

GateTable::GateTable(event_base* aBase,
                     const Clock& aClock,
                     uint32_t aMostSlots,
                     ActionsHandler aHandler)
  : m_base(aBase)
  , m_clock(aClock)
  , m_mostSlots(aMostSlots)
  , m_handler(std::move(aHandler))
{
}

GateTable::~GateTable() = default;

uint32_t
GateTable::SlotsOf(const ServicePolicy& aPolicy) const
{
  return std::min(aPolicy.slots, m_mostSlots);
}

std::unique_ptr<GateTable::ServiceGate>
GateTable::MakeGate(const ServicePolicy& aPolicy)
{
  auto settings = AdmissionSettingsOf(aPolicy);
  settings.slots = SlotsOf(aPolicy);
  auto made = std::make_unique<ServiceGate>(std::move(settings));
  auto* gate = made.get();
  gate->wakeup = std::make_unique<Timer>(
    m_base, [this, gate] { Handle(*gate, gate->gate.Expire(m_clock.Now())); });
  return made;
}

void
GateTable::SetPolicy(const ServicePolicy& aPolicy)
{
  auto& slot = m_slots[aPolicy.name];
  if (slot.current && slot.policy == aPolicy) {
    return;
  }
  slot.policy = aPolicy;
  auto old = std::exchange(slot.current, MakeGate(aPolicy));
  if (!old) {
    return;
  }
  const auto refused = old->gate.RefuseQueued(RefusalReason::kOverloaded);
  old->wakeup->Stop();
  slot.replaced.push_back(std::move(old));
  ShareSlots(slot);
  m_handler(refused);
}

void
GateTable::ShareSlots(Slot& aSlot)
{
  std::erase_if(aSlot.replaced, [](const auto& aGate) {
    return aGate->gate.RunningCount() == 0;
  });
  size_t taken = 0;
  for (const auto& gate : aSlot.replaced) {
    taken += gate->gate.RunningCount();
  }
  const size_t slots = SlotsOf(aSlot.policy);
  // One is left to the new gate, which would refuse everything otherwise.
  const auto left = slots > taken ? slots - taken : 1;
  auto& current = *aSlot.current;
  Handle(current,
         current.gate.SetLimit(static_cast<uint32_t>(left), m_clock.Now()));
}

void
GateTable::Admit(const ServiceName& aService, const AdmissionRequest& aRequest)
{
  auto& gate = *m_slots.at(aService).current;
  Handle(gate, gate.gate.Admit(aRequest, m_clock.Now()));
}

void
GateTable::End(const ServiceName& aService,
               const RequestId& aId,
               ServiceResult aResult)
{
  const auto found = m_slots.find(aService);
  if (found == m_slots.end()) {
    return;
  }
  auto& slot = found->second;
  const auto now = m_clock.Now();
  for (const auto& gate : slot.replaced) {
    if (gate->gate.IsRunning(aId)) {
      gate->gate.Finished(aId, aResult, now);
      ShareSlots(slot);
      return;
    }
  }
  auto& current = *slot.current;
  Handle(current,
         current.gate.IsRunning(aId) ? current.gate.Finished(aId, aResult, now)
                                     : current.gate.Cancel(aId));
}

void
GateTable::Handle(ServiceGate& aGate, const AdmissionActions& aActions)
{
  const auto next = aGate.gate.NextWakeup();
  if (next) {
    aGate.wakeup->StartOnce(*next - m_clock.Now());
  } else {
    aGate.wakeup->Stop();
  }
  m_handler(aActions);
}

void
GateTable::OnServerRestarted()
{
  for (const auto& [name, slot] : m_slots) {
    slot.current->gate.Restarted(m_clock.Now());
  }
}

size_t
GateTable::Running() const
{
  size_t running = 0;
  for (const auto& [name, slot] : m_slots) {
    running += slot.current->gate.RunningCount();
    for (const auto& gate : slot.replaced) {
      running += gate->gate.RunningCount();
    }
  }
  return running;
}

size_t
GateTable::Queued() const
{
  size_t queued = 0;
  for (const auto& [name, slot] : m_slots) {
    queued += slot.current->gate.QueuedCount();
  }
  return queued;
}

}
