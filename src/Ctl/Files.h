#ifndef PISTACHIOSHIFT_CTL_FILES_H
#define PISTACHIOSHIFT_CTL_FILES_H

#include <string>

namespace pistachioshift {

/** \brief Whole text of a file, at most 1 MiB; throws ConfigError. */
std::string ReadFile(const std::string& aPath);

/**
 * \brief Writes a new file that only its owner may read.
 * \throws ConfigError, also if the file exists.
 */
void WriteSecretFile(const std::string& aPath, const std::string& aText);

}

#endif
