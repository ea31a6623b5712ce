#ifndef PISTACHIOSHIFT_OWNERSHIP_VIEW_H
#define PISTACHIOSHIFT_OWNERSHIP_VIEW_H

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/Base/Ids.h"
#include "src/Ownership/Records.h"

namespace pistachioshift {

/** \brief Why replay ignored a record; kNone if it was accepted. */
enum class Refusal : uint8_t
{
  kNone,
  kOldOffset,       ///< Not above the last applied offset.
  kUnknownDaemon,   ///< Names a daemon that isn't a member.
  kDaemonGone,      ///< Names or was written by a daemon that is gone.
  kNotPlanner,      ///< Not from the current planner term.
  kTermChanged,     ///< The claim names another term than the current one.
  kNoSuchEntry,     ///< No entry with that key and offset.
  kBaseNotCurrent,  ///< The base entry has already been replaced.
  kBaseNotHeld,     ///< The base entry is not recorded as held.
  kBadSuccession,   ///< Holders repeat, too many, leaving or not serving.
  kNotInSuccession, ///< The daemon does not have that rank in the entry.
  kSetChanged,      ///< Names an older witness set, or one is pending.
  kBadWitnesses,    ///< Itself, repeated or unknown daemons, or a wrong count.
  kWitnessesRemain, ///< Retire although enough witnesses are left.
  kNotAlike,        ///< Unpin of a key held differently from its range.
};

/** \brief Name of a refusal in metrics and logs. */
const char* ToString(Refusal aRefusal);

/** \brief Result of applying a record. */
struct Verdict
{
  Refusal refusal = Refusal::kNone; ///< In a batch, the first refusal.
  std::vector<EntryKey> changed;    ///< Entries created, held, passed, removed.

  bool Accepted() const { return refusal == Refusal::kNone; }
};

/** \brief A rank given up by the PassRecord at offset `at`. */
struct PassedRank
{
  Rank rank;
  Offset at;

  bool operator==(const PassedRank&) const = default;
};

/** \brief An entry: its holders by rank, the owner first. */
struct Entry
{
  Offset offset;
  std::vector<DaemonId> holders;
  std::optional<Rank> held; ///< Highest rank recorded as holder.
  std::vector<PassedRank> passes;

  std::optional<Rank> RankOf(DaemonId aDaemon) const;
  std::optional<Offset> PassOf(Rank aRank) const;

  bool operator==(const Entry&) const = default;
};

/** \brief Current entry of a key, after older ones that may still be held. */
struct EntryChain
{
  std::vector<Entry> entries; ///< By offset; the last is current.

  const Entry& Current() const { return entries.back(); }

  bool operator==(const EntryChain&) const = default;
};

/** \brief A daemon in the mesh. */
struct Member
{
  DaemonId id;
  JoinRecord join;
  std::optional<Offset> leaving; ///< Offset of its LeavingRecord.

  bool operator==(const Member&) const = default;
};

/** \brief A daemon removed by the record at offset `at`. */
struct GoneDaemon
{
  Offset at;
  GoneCause cause = GoneCause::kSealed;

  bool operator==(const GoneDaemon&) const = default;
};

/** \brief Witnesses named by the record at `offset`. */
struct WitnessSet
{
  Offset offset;
  std::vector<DaemonId> witnesses;

  bool Contains(DaemonId aDaemon) const;
  /** \brief Size of a majority of the set; 0 for an empty set. */
  size_t Majority() const;

  bool operator==(const WitnessSet&) const = default;
};

/** \brief A leaseholder's current set and the one that it is switching to. */
struct WitnessSets
{
  WitnessSet current;
  std::optional<WitnessSet> pending;

  bool operator==(const WitnessSets&) const = default;
};

/** \brief The current planner term; offset 0 before the first claim. */
struct PlannerTerm
{
  Offset term;
  DaemonId planner;

  bool operator==(const PlannerTerm&) const = default;
};

/** \brief The contents of a view as vectors, for checkpoints. */
struct OwnershipSnapshot
{
  struct KeyedChain
  {
    EntryKey key;
    EntryChain chain;

    bool operator==(const KeyedChain&) const = default;
  };
  struct KeyedGone
  {
    DaemonId daemon;
    GoneDaemon gone;

    bool operator==(const KeyedGone&) const = default;
  };
  struct KeyedSets
  {
    DaemonId leaseholder;
    WitnessSets sets;

    bool operator==(const KeyedSets&) const = default;
  };

  Offset applied;
  PlannerTerm term;
  std::vector<Member> members;
  std::vector<KeyedGone> gone;
  std::vector<KeyedSets> witnesses;
  std::vector<KeyedChain> entries;

  bool operator==(const OwnershipSnapshot&) const = default;
};

/**
 * \brief State machine replicated through the ownership stream.
 *
 * Deterministic: daemons that applied the same records have equal views.
 * The caller drops second copies of an append before Apply.
 *
 * \sa OwnershipSnapshot, Node
 */
class OwnershipView
{
public:
  /** \brief Applies a record; refuses an offset not above Applied(). */
  Verdict Apply(Offset aOffset, const OwnershipRecord& aRecord);

  /** \brief Last applied offset; 0 before the first record. */
  Offset Applied() const { return m_applied; }

  const PlannerTerm& Term() const { return m_term; }
  const std::map<DaemonId, Member>& Members() const { return m_members; }
  const std::map<DaemonId, GoneDaemon>& Gone() const { return m_gone; }
  const std::map<EntryKey, EntryChain>& Entries() const { return m_entries; }
  const std::map<DaemonId, WitnessSets>& Witnesses() const
  {
    return m_witnesses;
  }

  /** \brief The Find functions return nullptr if there is none. */
  const Member* FindMember(DaemonId aDaemon) const;
  const GoneDaemon* FindGone(DaemonId aDaemon) const;
  const EntryChain* FindChain(const EntryKey& aKey) const;
  const WitnessSets* FindWitnesses(DaemonId aLeaseholder) const;

  /** \brief Keys in whose chain a daemon has a rank. */
  const std::set<EntryKey>& EntriesOf(DaemonId aDaemon) const;

  /** \brief Whether a RetireRecord for this leaseholder would be accepted. */
  bool IsRetirable(DaemonId aLeaseholder) const;

  /** \brief Leaseholders with a daemon in their current or pending set. */
  const std::set<DaemonId>& LeaseholdersOf(DaemonId aWitness) const;

  /** \brief Entry that applies to a key: its own, or else its range's. */
  EntryKey Resolve(const ServiceName& aService,
                   RangeIndex aRange,
                   const std::string& aKey) const;

  /**
   * \brief Daemons that may hold an entry, the most likely first.
   *
   * The recorded holder comes first, then its possible successors. Daemons
   * recorded as gone are left out. Empty if there is no such entry.
   */
  std::vector<DaemonId> Route(const EntryKey& aKey) const;

  /** \brief Whether all holders of the current entry are gone. */
  bool NeedsHolder(const EntryKey& aKey) const;

  OwnershipSnapshot Snapshot() const;
  static OwnershipView FromSnapshot(const OwnershipSnapshot& aSnapshot);

  bool operator==(const OwnershipView&) const = default;

private:
  Verdict Replay(Offset aOffset, const JoinRecord& aRecord);
  Verdict Replay(Offset aOffset, const LeavingRecord& aRecord);
  Verdict Replay(Offset aOffset, const GoneRecord& aRecord);
  Verdict Replay(Offset aOffset, const PlannerTermRecord& aRecord);
  Verdict Replay(Offset aOffset, const AssignRecord& aRecord);
  Verdict Replay(Offset aOffset, const PinRecord& aRecord);
  Verdict Replay(Offset aOffset, const UnpinRecord& aRecord);
  Verdict Replay(Offset aOffset, const HeldRecord& aRecord);
  Verdict Replay(Offset aOffset, const WitnessSetRecord& aRecord);
  Verdict Replay(Offset aOffset, const WitnessSetSwitchedRecord& aRecord);
  Verdict Replay(Offset aOffset, const PassRecord& aRecord);
  Verdict Replay(Offset aOffset, const RetireRecord& aRecord);

  Refusal CheckMember(DaemonId aDaemon) const;
  Refusal CheckPlanner(Offset aTerm, DaemonId aPlanner) const;
  Refusal CheckSuccession(const Assignment& aAssignment) const;
  Refusal CheckBase(const Assignment& aAssignment) const;
  Refusal Assign(Offset aOffset, const Assignment& aAssignment);
  Refusal Pin(const EntryKey& aKey);
  Refusal Unpin(Offset aOffset, const EntryKey& aKey);
  Refusal Hold(DaemonId aDaemon, const HeldEntry& aHeld);
  Refusal Pass(Offset aOffset, DaemonId aDaemon, const PassedEntry& aPassed);
  Entry* FindEntry(const EntryKey& aKey, Offset aEntry);
  bool AllHoldersGone(const Entry& aEntry) const;
  bool HasLostMajority(const WitnessSet& aSet) const;
  void Remove(DaemonId aDaemon, Offset aOffset, GoneCause aCause);
  void Store(const EntryKey& aKey, EntryChain aChain);
  void Erase(const EntryKey& aKey);
  void IndexWitnesses(DaemonId aLeaseholder, bool aAdd);

  Offset m_applied;
  PlannerTerm m_term;
  std::map<DaemonId, Member> m_members;
  std::map<DaemonId, GoneDaemon> m_gone;
  std::map<DaemonId, WitnessSets> m_witnesses;
  std::map<EntryKey, EntryChain> m_entries;
  std::map<DaemonId, std::set<EntryKey>> m_byDaemon;
  std::map<DaemonId, std::set<DaemonId>> m_leaseholders;
};

}

#endif
