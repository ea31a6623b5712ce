#ifndef PISTACHIOSHIFT_DAEMON_DOCUMENTDIALECT_H
#define PISTACHIOSHIFT_DAEMON_DOCUMENTDIALECT_H

#include "src/Daemon/BackendTask.h"
#include "src/Daemon/IngressDialect.h"
#include "src/Daemon/MeshTask.h"

namespace pistachioshift {

/**
 * \brief The HTTP interface of pistachiod: requests for `/{service}/{key}/...`,
 * with the services configured by the document stream. The outcome, the owner
 * and the reason of a refusal are told in response headers.
 */
class DocumentDialect : public IngressDialect
{
public:
  DocumentDialect(const Clock& aClock,
                  const MeshTask& aMesh,
                  const BackendTask& aBackend)
    : m_clock(aClock)
    , m_mesh(aMesh)
    , m_backend(aBackend)
  {
  }

  std::variant<ResolvedRequest, RefusalReason> Read(
    RequestHead& aHead) override;
  void CompleteAnswer(ResponseHead& aHead,
                      const Destination& aDestination,
                      const FenceToken& aToken) override;
  LocalResponse Refuse(const RefusalNotice& aNotice) override;

private:
  const Clock& m_clock;
  const MeshTask& m_mesh;
  const BackendTask& m_backend;
};

}

#endif
