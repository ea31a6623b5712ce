#ifndef PISTACHIOSHIFT_DOCUMENT_SIGNATURE_H
#define PISTACHIOSHIFT_DOCUMENT_SIGNATURE_H

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/Document/Edit.h"

namespace pistachioshift {

inline constexpr size_t kPublicKeyBytes = 32;
inline constexpr size_t kSeedBytes = 32;
inline constexpr size_t kSignatureBytes = 64;

/** \brief Ed25519 public key of a team. */
struct TeamPublicKey
{
  std::array<uint8_t, kPublicKeyBytes> bytes{};

  auto operator<=>(const TeamPublicKey&) const = default;
};

/** \brief Ed25519 seed, from which both halves of a team's key follow. */
struct TeamSecretKey
{
  std::array<uint8_t, kSeedBytes> seed{};
};

/** \brief Draws a key from the operating system's random numbers. */
TeamSecretKey GenerateKey();

/** \brief Public half of a key. */
TeamPublicKey PublicKeyOf(const TeamSecretKey& aKey);

/** \brief `ed25519:` and 64 hexadecimal digits, as the document has it. */
std::string FormatPublicKey(const TeamPublicKey& aKey);

/** \brief Reads FormatPublicKey's form; throws DocumentError. */
TeamPublicKey ParsePublicKey(std::string_view aText);

/** \brief `ed25519-secret:` and 64 hexadecimal digits, as key files have it. */
std::string FormatSecretKey(const TeamSecretKey& aKey);

/** \brief Reads FormatSecretKey's form; throws DocumentError. */
TeamSecretKey ParseSecretKey(std::string_view aText);

/** \brief Sets the signature of an edit whose other fields are final. */
void SignEdit(DocumentEdit& aEdit, const TeamSecretKey& aKey);

/** \brief Whether the edit as it stands was signed by this key. */
bool VerifyEdit(const DocumentEdit& aEdit, const TeamPublicKey& aKey);

}

#endif
