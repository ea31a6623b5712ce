#ifndef PISTACHIOSHIFT_CTL_VERSIONREPORT_H
#define PISTACHIOSHIFT_CTL_VERSIONREPORT_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/Ctl/DaemonStatus.h"

namespace pistachioshift {

/** \brief Which daemons have which version in force, and which are silent. */
struct VersionReport
{
  std::map<Offset, std::vector<std::string>> daemons; ///< Names by version.
  std::vector<std::string> silent;

  /** \brief Whether all daemons answered with the same version. */
  bool IsUniform() const { return silent.empty() && daemons.size() == 1; }
};

/**
 * \brief Counts versions over the daemons that were asked or are members.
 *
 * A daemon is named by its id, before it joined by its host, and by its
 * operators' port if nothing else is known of it.
 *
 * \param aSection counts this section's versions; the document's if none.
 */
VersionReport CountVersions(const MeshAnswers& aAnswers,
                            const std::optional<SectionName>& aSection);

/** \brief One line per version, the newest first, then the silent ones. */
std::string FormatReport(const VersionReport& aReport);

}

#endif
