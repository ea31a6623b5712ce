#include "src/Daemon/DownloadResume.h"

#include <fmt/format.h>

namespace pistachioshift {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusPartial = 206;

}

void
DownloadResume::OnHead(const RequestHead& aRequest, const ResponseHead& aAnswer)
{
  const auto* etag = aAnswer.headers.Find("ETag");
  const bool strong = etag != nullptr && etag->starts_with('"');
  m_canResume = aRequest.method == "GET" && aAnswer.status == kStatusOk &&
                strong && aAnswer.contentLength.has_value() &&
                aRequest.headers.Find("Range") == nullptr;
  if (m_canResume) {
    m_etag = *etag;
    m_length = *aAnswer.contentLength;
  }
}

void
DownloadResume::RequestRemainder(RequestHead& aRequest) const
{
  aRequest.headers.Set("Range", fmt::format("bytes={}-", m_sent));
  aRequest.headers.Set("If-Range", m_etag);
}

bool
DownloadResume::IsRemainder(const ResponseHead& aAnswer) const
{
  const auto* etag = aAnswer.headers.Find("ETag");
  const auto* range = aAnswer.headers.Find("Content-Range");
  if (aAnswer.status != kStatusPartial || etag == nullptr || range == nullptr ||
      *etag != m_etag) {
    return false;
  }
  return *range ==
         fmt::format("bytes {}-{}/{}", m_sent, m_length - 1, m_length);
}

}
