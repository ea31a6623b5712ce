#include "src/Document/Section.h"

#include <algorithm>

namespace pistachioshift {

bool
Team::Owns(const SectionName& aSection) const
{
  return std::find(sections.begin(), sections.end(), aSection) !=
         sections.end();
}

const Team*
TeamsSection::Find(const TeamName& aName) const
{
  const auto found =
    std::find_if(teams.begin(), teams.end(), [&](const Team& aTeam) {
      return aTeam.name == aName;
    });
  return found == teams.end() ? nullptr : &*found;
}

const Team*
TeamsSection::OwnerOf(const SectionName& aSection) const
{
  const auto found =
    std::find_if(teams.begin(), teams.end(), [&](const Team& aTeam) {
      return aTeam.Owns(aSection);
    });
  return found == teams.end() ? nullptr : &*found;
}

}
