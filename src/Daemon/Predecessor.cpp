#include "src/Daemon/Predecessor.h"

#include <fstream>

namespace pistachioshift {

namespace {

constexpr const char* kKernelBootFile = "/proc/sys/kernel/random/boot_id";

}

std::string
ReadKernelBootId()
{
  std::ifstream file(kKernelBootFile);
  std::string boot;
  std::getline(file, boot);
  return boot;
}

std::optional<DaemonId>
FindPredecessor(const OwnershipView& aView, const JoinRecord& aJoin)
{
  if (aJoin.kernelBoot.empty()) {
    return std::nullopt;
  }
  for (const auto& [daemon, member] : aView.Members()) {
    const auto& join = member.join;
    if (join.kernelBoot == aJoin.kernelBoot && join.inner == aJoin.inner &&
        join.host == aJoin.host && join.boot != aJoin.boot) {
      return daemon;
    }
  }
  return std::nullopt;
}

}
