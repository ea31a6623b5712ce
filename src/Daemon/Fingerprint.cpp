#include "src/Daemon/Fingerprint.h"

#include <algorithm>
#include <initializer_list>
#include <string>

#include "src/Base/Hash.h"

namespace pistachioshift {

RequestFingerprint
FingerprintOf(const RequestHead& aHead,
              std::string_view aKey,
              std::string_view aBody)
{
  const auto* host = aHead.headers.Find("Host");
  std::string text;
  // None of the fields contains a line feed.
  for (const std::string_view field :
       { std::string_view(aHead.method),
         host == nullptr ? std::string_view() : std::string_view(*host),
         std::string_view(aHead.target),
         aKey }) {
    text.append(field).push_back('\n');
  }
  text += std::to_string(aHead.contentLength.value_or(0));
  text.push_back('\n');
  text += std::to_string(HashKey(aBody));
  return RequestFingerprint(std::max<uint64_t>(HashKey(text), 1));
}

}
