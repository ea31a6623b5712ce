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
 * \brief The admission controller of each service.
 *
 * A change of a service's policy replaces its controller. Requests queued at
 * the replaced controller are refused as not run. Requests running there
 * continue, and until they end their slots are subtracted from the limit of the
 * new controller.
 */
class AdmissionTable
{
public:
  using ActionsHandler = std::function<void(const AdmissionActions&)>;

  /**
   * \param aMaxSlots slots of the backend server; upper bound for the slots of
   * each service.
   * \param aHandler carries out the decisions of the controllers; also called
   * from timers.
   */
  AdmissionTable(event_base* aBase,
                 const Clock& aClock,
                 uint32_t aMaxSlots,
                 ActionsHandler aHandler);
  ~AdmissionTable();

  /** \brief Applies a service's policy; no effect if it hasn't changed. */
  void SetPolicy(const ServicePolicy& aPolicy);

  /**
   * \brief Starts, queues or refuses a request.
   * \param aService a service given to SetPolicy before.
   */
  void Admit(const ServiceName& aService, const AdmissionRequest& aRequest);

  /** \brief Ends a running request, or removes it from the queue. */
  void End(const ServiceName& aService,
           const RequestId& aId,
           ServiceResult aResult);

  /** \brief The backend server restarted: slow start for each service. */
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
      replaced; ///< Requests still run there.
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
