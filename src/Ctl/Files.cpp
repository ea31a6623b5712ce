#include "src/Ctl/Files.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include "src/Base/Error.h"

namespace pistachioshift {

namespace {

constexpr size_t kMaxFileBytes = size_t{ 1024 } * 1024;
constexpr mode_t kOwnerOnly = 0600;

[[noreturn]] void
Fail(const std::string& aPath)
{
  throw ConfigError(fmt::format("{}: {}", aPath, std::strerror(errno)));
}

}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf() || file.peek() == EOF)) {
    Fail(aPath);
  }
  auto result = text.str();
  if (result.size() > kMaxFileBytes) {
    throw ConfigError(
      fmt::format("{}: longer than {} bytes", aPath, kMaxFileBytes));
  }
  return result;
}

void
WriteSecretFile(const std::string& aPath, const std::string& aText)
{
  const int file =
    open(aPath.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, kOwnerOnly);
  if (file < 0) {
    Fail(aPath);
  }
  const auto written = write(file, aText.data(), aText.size());
  const bool complete = written == static_cast<ssize_t>(aText.size());
  if (close(file) != 0 || !complete) {
    Fail(aPath);
  }
}

}
