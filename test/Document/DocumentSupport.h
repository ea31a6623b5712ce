#ifndef PISTACHIOSHIFT_TEST_DOCUMENT_DOCUMENTSUPPORT_H
#define PISTACHIOSHIFT_TEST_DOCUMENT_DOCUMENTSUPPORT_H

#include <cstdint>
#include <string>
#include <vector>

#include "Pistachioshift/Document"

namespace pistachioshift::test {

/** \brief The same key for the same team and generation on every run. */
TeamSecretKey KeyOf(const std::string& aTeam, int aGeneration = 0);

struct TeamSpec
{
  std::string name;
  std::vector<std::string> sections;
  int generation = 0;
};

std::string TeamsText(const std::vector<TeamSpec>& aTeams);

/** \brief `ops` owns teams, `alpha` and `beta` a section of their name. */
std::vector<TeamSpec> DefaultTeams();

std::string ServiceText(const std::string& aName, uint32_t aRanges = 16);

/** \brief An edit whose id and readThrough are set and that isn't signed. */
DocumentEdit MakeEdit(uint64_t aId,
                      const std::string& aSection,
                      Offset aBase,
                      const std::string& aAuthor,
                      std::string aText);

/** \brief Signs with the author's key. */
DocumentEdit Signed(DocumentEdit aEdit, int aGeneration = 0);

/** \brief A document with DefaultTeams, founded by the record at offset 1. */
DocumentState FoundedDocument();

/** \brief One record of a log: an edit at its offset. */
struct LoggedEdit
{
  Offset offset;
  DocumentEdit edit;
};

/** \brief One random step of ScriptedLog; all values are taken modulo. */
struct Step
{
  uint8_t kind = 0;
  uint8_t section = 0;
  uint8_t text = 0;
  uint8_t lag = 0;
  uint8_t gap = 0;
};

/** \brief A log that writers with lagging views wrote, with its verdicts. */
struct ScriptedLog
{
  std::vector<LoggedEdit> records;
  std::vector<EditVerdict> verdicts;
  std::vector<DocumentState> states; ///< After each record.
};

/**
 * \brief Turns steps into a log: edits on old and new views, copies, wrong
 * signatures, foreign authors, changes of teams and keys, gaps.
 */
ScriptedLog WriteLog(const std::vector<Step>& aSteps);

}

#endif
