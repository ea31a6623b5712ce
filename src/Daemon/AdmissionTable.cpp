#include "src/Daemon/AdmissionTable.h"

#include <algorithm>

namespace pistachioshift {

struct AdmissionTable::ServiceController
{
  explicit ServiceController(AdmissionSettings aSettings)
    : controller(std::move(aSettings))
  {
  }

  AdmissionController controller;
  std::unique_ptr<Timer> wakeup;
};

AdmissionTable::AdmissionTable(event_base* aBase,
                               const Clock& aClock,
                               uint32_t aMaxSlots,
                               ActionsHandler aHandler)
  : m_base(aBase)
  , m_clock(aClock)
  , m_maxSlots(aMaxSlots)
  , m_handler(std::move(aHandler))
{
}

AdmissionTable::~AdmissionTable() = default;

uint32_t
AdmissionTable::SlotsOf(const ServicePolicy& aPolicy) const
{
  return std::min(aPolicy.slots, m_maxSlots);
}

std::unique_ptr<AdmissionTable::ServiceController>
AdmissionTable::MakeController(const ServicePolicy& aPolicy)
{
  auto settings = AdmissionSettingsOf(aPolicy);
  settings.slots = SlotsOf(aPolicy);
  auto made = std::make_unique<ServiceController>(std::move(settings));
  auto* item = made.get();
  item->wakeup = std::make_unique<Timer>(m_base, [this, item] {
    Handle(*item, item->controller.Expire(m_clock.Now()));
  });
  return made;
}

void
AdmissionTable::SetPolicy(const ServicePolicy& aPolicy)
{
  auto& service = m_services[aPolicy.name];
  if (service.current && service.policy == aPolicy) {
    return;
  }
  service.policy = aPolicy;
  auto old = std::exchange(service.current, MakeController(aPolicy));
  if (!old) {
    return;
  }
  const auto refused = old->controller.RefuseQueued(RefusalReason::kOverloaded);
  old->wakeup->Stop();
  service.replaced.push_back(std::move(old));
  UpdateSlotLimit(service);
  m_handler(refused);
}

void
AdmissionTable::UpdateSlotLimit(Service& aService)
{
  std::erase_if(aService.replaced, [](const auto& aItem) {
    return aItem->controller.RunningCount() == 0;
  });
  size_t taken = 0;
  for (const auto& item : aService.replaced) {
    taken += item->controller.RunningCount();
  }
  const size_t slots = SlotsOf(aService.policy);
  // With a limit of 0 the new controller would refuse every request.
  const auto left = slots > taken ? slots - taken : 1;
  auto& current = *aService.current;
  Handle(
    current,
    current.controller.SetLimit(static_cast<uint32_t>(left), m_clock.Now()));
}

void
AdmissionTable::Admit(const ServiceName& aService,
                      const AdmissionRequest& aRequest)
{
  auto& current = *m_services.at(aService).current;
  Handle(current, current.controller.Admit(aRequest, m_clock.Now()));
}

void
AdmissionTable::End(const ServiceName& aService,
                    const RequestId& aId,
                    ServiceResult aResult)
{
  const auto found = m_services.find(aService);
  if (found == m_services.end()) {
    return;
  }
  auto& service = found->second;
  const auto now = m_clock.Now();
  for (const auto& item : service.replaced) {
    if (item->controller.IsRunning(aId)) {
      item->controller.Finished(aId, aResult, now);
      UpdateSlotLimit(service);
      return;
    }
  }
  auto& current = *service.current;
  Handle(current,
         current.controller.IsRunning(aId)
           ? current.controller.Finished(aId, aResult, now)
           : current.controller.Cancel(aId));
}

void
AdmissionTable::Handle(ServiceController& aController,
                       const AdmissionActions& aActions)
{
  const auto next = aController.controller.NextWakeup(m_clock.Now());
  if (next) {
    aController.wakeup->StartOnce(*next - m_clock.Now());
  } else {
    aController.wakeup->Stop();
  }
  m_handler(aActions);
}

void
AdmissionTable::OnServerRestarted()
{
  for (const auto& [name, service] : m_services) {
    service.current->controller.Restarted(m_clock.Now());
  }
}

size_t
AdmissionTable::Running() const
{
  size_t running = 0;
  for (const auto& [name, service] : m_services) {
    running += service.current->controller.RunningCount();
    for (const auto& item : service.replaced) {
      running += item->controller.RunningCount();
    }
  }
  return running;
}

size_t
AdmissionTable::Queued() const
{
  size_t queued = 0;
  for (const auto& [name, service] : m_services) {
    queued += service.current->controller.QueuedCount();
  }
  return queued;
}

}
