#include <optional>

#include <fmt/format.h>

#include "Pistachioshift/Document"
#include "Pistachioshift/Inner"
#include "Pistachioshift/Log"
#include "src/Ctl/Commands.h"
#include "src/Ctl/EventLoop.h"
#include "src/Ctl/RecordText.h"

// Commands that show the streams of the log service as they are.

namespace pistachioshift {

namespace {

constexpr uint32_t kRecordsPerRead = 256;

class TailTask
{
public:
  explicit TailTask(const Options& aOptions)
    : m_options(aOptions)
    , m_stream(aOptions.arguments.front())
    , m_service(m_loop.Base(), HttpLogOptions{ Require(aOptions.log, "--log") })
    , m_next(aOptions.from)
  {
  }

  ExitCode Run()
  {
    while (ReadOnce() || m_options.follow) {
    }
    return ExitCode::kDone;
  }

private:
  /** \brief Prints what there is; false at the end of the stream. */
  bool ReadOnce()
  {
    const auto wait = m_options.follow ? m_options.timeout : Duration{};
    std::optional<ReadResult> result;
    m_service.Read(
      m_stream, m_next, kRecordsPerRead, wait, [&](ReadResult aResult) {
        result = std::move(aResult);
      });
    m_loop.RunUntil([&] { return result.has_value(); },
                    wait + m_options.timeout);
    if (!result) {
      throw UnreachableError("the log service gave no answer");
    }
    if (const auto* failed = std::get_if<ReadFailed>(&*result)) {
      throw UnreachableError(failed->reason);
    }
    return Print(std::get<ReadAnswer>(*result));
  }

  bool Print(const ReadAnswer& aAnswer)
  {
    for (const auto& entry : aAnswer.entries) {
      fmt::print("{}\n", DescribeEntry(m_stream, entry));
      m_next = Offset(entry.offset.Value() + 1);
    }
    std::fflush(stdout);
    return m_next < aAnswer.end && !aAnswer.entries.empty();
  }

  const Options& m_options;
  StreamName m_stream;
  EventLoop m_loop;
  HttpLogService m_service;
  Offset m_next;
};

}

ExitCode
TailLog(const Options& aOptions)
{
  return TailTask(aOptions).Run();
}

}
