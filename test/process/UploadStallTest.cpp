#include "test/process/LargeBodySupport.h"

namespace pistachioshift {

/** Uploads to backend servers that stop reading for a moment. */
class UploadStallTest : public LargeBodyTest
{};

// Guards against an upload that stalls for good after its server read slowly.
TEST_F(UploadStallTest, Uploads_BackendServersPauseBriefly_AreWhole)
{
  const std::string body(kBodyBytes, 'u');
  std::vector<Pending> pending;
  pending.reserve(kEachWay);
  for (size_t number = 0; number < kEachWay; ++number) {
    pending.push_back(StartUpload(number, body));
  }
  PauseServersDuring(pending);
  ExpectWhole(pending);
}

}
