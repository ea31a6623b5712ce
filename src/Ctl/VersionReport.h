#ifndef PISTACHIOSHIFT_CTL_VERSIONREPORT_H
#define PISTACHIOSHIFT_CTL_VERSIONREPORT_H

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/Ctl/DaemonStatus.h"

namespace pistachioshift {

/** \brief Which daemons have which version in force. */
struct VersionReport
{
  std::map<Offset, std::vector<DaemonId>> daemons; ///< By version.
  std::vector<DaemonId> silent; ///< Members that gave no answer.

  /** \brief Whether all members answered with the same version. */
  bool IsUniform() const { return silent.empty() && daemons.size() == 1; }
};

/**
 * \brief Counts versions over the daemons that answered.
 * \param aSection counts this section's versions; the document's if none.
 */
VersionReport CountVersions(const std::vector<DaemonStatus>& aAnswers,
                            const std::optional<SectionName>& aSection);

/** \brief One line per version, the newest first, then the silent ones. */
std::string FormatReport(const VersionReport& aReport);

}

#endif
