#include "src/Document/Signature.h"

#include <sodium.h>

#include <fmt/format.h>

#include "src/Document/Error.h"

namespace pistachioshift {

namespace {

constexpr std::string_view kPublicPrefix = "ed25519:";
constexpr std::string_view kSecretPrefix = "ed25519-secret:";
constexpr std::string_view kSignedPurpose = "pistachioshift document edit 1";

using SigningKey = std::array<uint8_t, crypto_sign_SECRETKEYBYTES>;

static_assert(kPublicKeyBytes == crypto_sign_PUBLICKEYBYTES);
static_assert(kSeedBytes == crypto_sign_SEEDBYTES);
static_assert(kSignatureBytes == crypto_sign_BYTES);

void
RequireSodium()
{
  static const bool kReady = sodium_init() >= 0;
  if (!kReady) {
    throw DocumentError("libsodium can't be initialised");
  }
}

template<size_t Size>
std::string
FormatHex(std::string_view aPrefix, const std::array<uint8_t, Size>& aBytes)
{
  std::array<char, Size * 2 + 1> digits{};
  sodium_bin2hex(digits.data(), digits.size(), aBytes.data(), aBytes.size());
  return std::string(aPrefix) + digits.data();
}

template<size_t Size>
std::array<uint8_t, Size>
ParseHex(std::string_view aPrefix, std::string_view aText)
{
  const auto problem =
    fmt::format("a key is '{}' and {} hexadecimal digits", aPrefix, Size * 2);
  if (!aText.starts_with(aPrefix)) {
    throw DocumentError(problem);
  }
  const auto digits = aText.substr(aPrefix.size());
  std::array<uint8_t, Size> bytes{};
  size_t length = 0;
  const int status = sodium_hex2bin(bytes.data(),
                                    bytes.size(),
                                    digits.data(),
                                    digits.size(),
                                    nullptr,
                                    &length,
                                    nullptr);
  if (status != 0 || length != Size || digits.size() != Size * 2) {
    throw DocumentError(problem);
  }
  return bytes;
}

void
ExpandKey(const TeamSecretKey& aKey,
          TeamPublicKey& aPublic,
          SigningKey& aSigning)
{
  RequireSodium();
  crypto_sign_seed_keypair(
    aPublic.bytes.data(), aSigning.data(), aKey.seed.data());
}

// Lengths go before the values, so that no two edits have the same bytes.
void
AddField(std::string& aBytes, std::string_view aField)
{
  aBytes += fmt::format("{}:", aField.size());
  aBytes += aField;
}

std::string
SignedBytes(const DocumentEdit& aEdit)
{
  std::string bytes;
  bytes.reserve(aEdit.text.size() + 256);
  AddField(bytes, kSignedPurpose);
  AddField(bytes, fmt::format("{:016x}", aEdit.id.writer.Value()));
  AddField(bytes, fmt::format("{:016x}", aEdit.id.sequence));
  AddField(bytes, aEdit.section.Value());
  AddField(bytes, fmt::format("{}", aEdit.baseVersion.Value()));
  AddField(bytes, fmt::format("{}", aEdit.readThrough.Value()));
  AddField(bytes, aEdit.author.Value());
  AddField(bytes, aEdit.text);
  return bytes;
}

const unsigned char*
AsBytes(const std::string& aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

}

TeamSecretKey
GenerateKey()
{
  RequireSodium();
  TeamSecretKey key;
  randombytes_buf(key.seed.data(), key.seed.size());
  return key;
}

TeamPublicKey
PublicKeyOf(const TeamSecretKey& aKey)
{
  TeamPublicKey result;
  SigningKey signing{};
  ExpandKey(aKey, result, signing);
  sodium_memzero(signing.data(), signing.size());
  return result;
}

std::string
FormatPublicKey(const TeamPublicKey& aKey)
{
  return FormatHex(kPublicPrefix, aKey.bytes);
}

TeamPublicKey
ParsePublicKey(std::string_view aText)
{
  return TeamPublicKey{ ParseHex<kPublicKeyBytes>(kPublicPrefix, aText) };
}

std::string
FormatSecretKey(const TeamSecretKey& aKey)
{
  return FormatHex(kSecretPrefix, aKey.seed);
}

TeamSecretKey
ParseSecretKey(std::string_view aText)
{
  return TeamSecretKey{ ParseHex<kSeedBytes>(kSecretPrefix, aText) };
}

void
SignEdit(DocumentEdit& aEdit, const TeamSecretKey& aKey)
{
  TeamPublicKey publicKey;
  SigningKey signing{};
  ExpandKey(aKey, publicKey, signing);
  const auto bytes = SignedBytes(aEdit);
  std::array<uint8_t, kSignatureBytes> signature{};
  crypto_sign_detached(
    signature.data(), nullptr, AsBytes(bytes), bytes.size(), signing.data());
  sodium_memzero(signing.data(), signing.size());
  aEdit.signature.assign(signature.begin(), signature.end());
}

bool
VerifyEdit(const DocumentEdit& aEdit, const TeamPublicKey& aKey)
{
  RequireSodium();
  if (aEdit.signature.size() != kSignatureBytes) {
    return false;
  }
  const auto bytes = SignedBytes(aEdit);
  return crypto_sign_verify_detached(AsBytes(aEdit.signature),
                                     AsBytes(bytes),
                                     bytes.size(),
                                     aKey.bytes.data()) == 0;
}

}
