#ifndef PISTACHIOSHIFT_TEST_HOSTDAEMON_UNUSEDDIALECT_H
#define PISTACHIOSHIFT_TEST_HOSTDAEMON_UNUSEDDIALECT_H

#include "src/HostDaemon/ServerDialect.h"

namespace pistachioshift::test {

/** Dialect of a backend server that is never called. */
class UnusedDialect : public ServerDialect
{
public:
  void PrepareHead(RequestHead&, const ServerId&, Duration) const override {}
  std::string RequestLabel(const RequestHead&) const override { return {}; }
  AnswerKind Classify(const RequestHead&, const ResponseHead&) const override
  {
    return AnswerKind::kAnswer;
  }
  std::optional<ServerId> ReadHealth(const ResponseHead&) const override
  {
    return std::nullopt;
  }
  ServerNotice ReadNotice(const ResponseHead&) const override { return {}; }
};

}

#endif
