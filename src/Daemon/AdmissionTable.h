#ifndef PISTACHIOSHIFT_DAEMON_ADMISSIONTABLE_H
#define PISTACHIOSHIFT_DAEMON_ADMISSIONTABLE_H

#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Daemon/Timer.h"
#include "src/Routing/AdmissionController.h"

namespace pistachioshift {

/**
 * \brief One gate per service, replaced when the document changes it.
 *
 * What waits at a replaced gate is refused as not run; what runs there goes on
 * and takes its slots from the new gate until it ends.
 */
class AdmissionTable
{
public:
  using ActionsHandler = std::function<void(const AdmissionActions&)>;

  /**
   * \param aMaxSlots slots of the backend server; bounds every gate.
   * \param aHandler carries out what a gate decides, also from timers.
   */
  AdmissionTable(event_base* aBase,
                 const Clock& aClock,
                 uint32_t aMaxSlots,
                 ActionsHandler aHandler);
  ~AdmissionTable();

  /** \brief Brings a service's settings into force at once. */
  void SetPolicy(const ServicePolicy& aPolicy);

  /** \brief Admits a request of a service that SetPolicy named. */
  void Admit(const ServiceName& aService, const AdmissionRequest& aRequest);

  /** \brief Ends a request, whether it runs or waits. */
  void End(const ServiceName& aService,
           const RequestId& aId,
           ServiceResult aResult);

  /** \brief The backend server started anew: begin slowly. */
  void OnServerRestarted();

  size_t Running() const;
  size_t Queued() const;

private:
  struct ServiceController;

  struct Service
  {
    ServicePolicy policy;
    std::unique_ptr<ServiceController> current;
    std::vector<std::unique_ptr<ServiceController>>
      replaced; ///< Still running.
  };

  std::unique_ptr<ServiceController> MakeController(
    const ServicePolicy& aPolicy);
  uint32_t SlotsOf(const ServicePolicy& aPolicy) const;
  void UpdateSlotLimit(Service& aService);
  void Handle(ServiceController& aController, const AdmissionActions& aActions);

  event_base* m_base;
  const Clock& m_clock;
  uint32_t m_maxSlots;
  ActionsHandler m_handler;
  std::map<ServiceName, Service> m_services;
};

}

#endif
