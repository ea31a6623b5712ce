#ifndef PISTACHIOSHIFT_DOCUMENT_SECTION_H
#define PISTACHIOSHIFT_DOCUMENT_SECTION_H

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Document/Error.h"
#include "src/Document/Signature.h"
#include "src/Routing/ServicePolicy.h"

namespace pistachioshift {

inline constexpr size_t kMaxSectionBytes = 65536;
inline constexpr size_t kMaxNameLength = 63;

/** \brief A team: an edit signed by any of its keys is the team's. */
struct Team
{
  TeamName name;
  std::vector<TeamPublicKey> keys; ///< Several while a key is replaced.
  std::vector<SectionName> sections;
  TextPosition position;

  bool Owns(const SectionName& aSection) const;
};

/** \brief The section `teams`; one team of it owns `teams` itself. */
struct TeamsSection
{
  std::vector<Team> teams;

  /** \brief nullptr if no team has this name. */
  const Team* Find(const TeamName& aName) const;

  /** \brief nullptr if no team owns the section. */
  const Team* OwnerOf(const SectionName& aSection) const;
};

/** \brief A service as declared, with the place of its declaration. */
struct DeclaredService
{
  ServicePolicy policy;
  TextPosition position;
};

/** \brief Any other section: the services of the team that owns it. */
struct ServicesSection
{
  std::vector<DeclaredService> services;
};

using Section = std::variant<TeamsSection, ServicesSection>;

}

#endif
