#ifndef PISTACHIOSHIFT_DOCUMENT_DOCUMENTSTATE_H
#define PISTACHIOSHIFT_DOCUMENT_DOCUMENTSTATE_H

#include <cstddef>
#include <map>
#include <vector>

#include "src/Document/Edit.h"
#include "src/Document/Section.h"
#include "src/Document/Snapshot.h"
#include "src/Document/Verdict.h"

namespace pistachioshift {

/** \brief Edits whose ids and results are remembered. */
inline constexpr size_t kRememberedEdits = 512;
inline constexpr size_t kMaxSections = 256;

/** \brief Services whose range count is remembered, gone ones included. */
inline constexpr size_t kMaxServicesEver = 4096;

/**
 * \brief The document as replay of the `document` stream.
 *
 * A pure function of the records in offset order: daemons that applied the
 * same records are equal, whichever checkpoint they started from.
 *
 * A copy of an edit never gets a second verdict: a copy can only follow the
 * edit's `readThrough`, and an edit that was read before the oldest remembered
 * one is refused.
 *
 * \sa DocumentEdit, DocumentSnapshot
 */
class DocumentState
{
public:
  DocumentState() = default;

  /**
   * \brief Restores a checkpoint.
   * \throws DocumentError if one of its texts can't be parsed.
   */
  static DocumentState FromSnapshot(const DocumentSnapshot& aSnapshot);

  /** \brief The whole state, for a checkpoint through Applied(). */
  DocumentSnapshot Snapshot() const { return m_data; }

  /**
   * \brief Judges the record at an offset and takes over an accepted edit.
   *
   * Offsets come in rising order and may have gaps (other records); one at or
   * below Applied() has no effect.
   */
  EditVerdict Apply(Offset aOffset, const DocumentEdit& aEdit);

  /** \brief The verdict that Apply would give; changes nothing. */
  EditVerdict Check(Offset aOffset, const DocumentEdit& aEdit) const;

  /** \brief Notes a record at an offset that is no edit. */
  void Skip(Offset aOffset);

  /**
   * \brief Takes over a checkpoint that is ahead of this state.
   * \return false, without effect, if it isn't ahead: nothing ever reverts.
   */
  bool AdvanceTo(const DocumentSnapshot& aSnapshot);

  /** \brief Last offset seen. */
  Offset Applied() const { return m_data.through; }

  /** \brief Offset of the last accepted edit; 0 while there is none. */
  Offset Version() const { return m_data.version; }

  /** \brief Services declared by all sections in force. */
  const ServicePolicies& Policies() const { return m_policies; }

  /** \brief Teams in force; empty before the founding edit. */
  const TeamsSection& Teams() const { return m_teams; }

  const std::vector<SectionState>& Sections() const { return m_data.sections; }

  /** \brief nullptr if the section doesn't exist. */
  const SectionState* Find(const SectionName& aSection) const;

  /** \brief Version of a section; 0 if it doesn't exist. */
  Offset VersionOf(const SectionName& aSection) const;

  /** \brief The last kRememberedEdits judged edits, oldest first. */
  const std::vector<JudgedEdit>& History() const { return m_data.history; }

  bool operator==(const DocumentState& aOther) const
  {
    return m_data == aOther.m_data;
  }

private:
  void Accept(Offset aOffset, const DocumentEdit& aEdit);
  void Remember(const DocumentEdit& aEdit, const EditVerdict& aVerdict);
  void RememberRanges(const ServicesSection& aSection);
  void Rebuild();
  void TakeOver(const SectionName& aName, Section aSection);
  void CollectPolicies();

  DocumentSnapshot m_data;
  TeamsSection m_teams;                              // From m_data.
  std::map<SectionName, ServicesSection> m_services; // From m_data.
  ServicePolicies m_policies;                        // From m_services.
};

}

#endif
