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

/** \brief Why replay ignored a record; kNone: it was accepted. */
enum class Refusal : uint8_t
{
  kNone,
  kOldOffset,       ///< At or below the offset applied last.
  kUnknownDaemon,   ///< Names a daemon that isn't a member.
  kDaemonGone,      ///< Names or comes from a daemon that is gone.
  kNotPlanner,      ///< Not of the planner term in force.
  kTermChanged,     ///< The claim was made against an older term.
  kNoSuchEntry,     ///< No entry of that key and offset.
  kBaseNotCurrent,  ///< The base entry was replaced already.
  kBaseNotHeld,     ///< The base entry isn't recorded as held.
  kBadSuccession,   ///< Owner and successors repeat, are too many or unable.
  kNotInSuccession, ///< The daemon has no such rank in the entry.
  kSetChanged,      ///< Against an older witness set, or one is pending.
  kBadWitnesses, ///< Set names the leaseholder itself, repeats, or is too many.
  kWitnessesRemain, ///< Retire while enough witnesses are left.
  kNotAlike,        ///< Unpin of a key whose range is held otherwise.
};

/** \brief Name of a refusal for counters and operators. */
const char* ToString(Refusal aRefusal);

/** \brief What replay made of a record. */
struct Verdict
{
  Refusal refusal = Refusal::kNone; ///< Of a batch: the first one.
  std::vector<EntryKey> changed;    ///< Entries created, held, passed, removed.

  bool Accepted() const { return refusal == Refusal::kNone; }
};

/** \brief A rank given up by a record at `at`. */
struct PassedRank
{
  Rank rank;
  Offset at;

  bool operator==(const PassedRank&) const = default;
};

/** \brief One entry: its holders by rank, the owner first. */
struct Entry
{
  Offset offset;
  std::vector<DaemonId> holders;
  std::optional<Rank> held; ///< Rank recorded as holding it.
  std::vector<PassedRank> passes;

  std::optional<Rank> RankOf(DaemonId aDaemon) const;
  std::optional<Offset> PassOf(Rank aRank) const;

  bool operator==(const Entry&) const = default;
};

/** \brief The entry of a key in force and those before that may be held. */
struct EntryChain
{
  std::vector<Entry> entries; ///< By offset; the last one is current.

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

/** \brief A daemon that holds nothing since the record at `at`. */
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
  /** \brief Members of the set that make a majority; 0 for an empty set. */
  size_t Majority() const;

  bool operator==(const WitnessSet&) const = default;
};

/** \brief The set a leaseholder counts on and the one that it is switching to.
 */
struct WitnessSets
{
  WitnessSet current;
  std::optional<WitnessSet> pending;

  bool operator==(const WitnessSets&) const = default;
};

/** \brief The planner term in force; offset 0 before the first. */
struct PlannerTerm
{
  Offset term;
  DaemonId planner;

  bool operator==(const PlannerTerm&) const = default;
};

/** \brief A view as plain vectors for checkpoints. */
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
 * \brief The state that the ownership stream defines.
 *
 * Deterministic: daemons that applied the same records are in equal states.
 * A second copy of an append must be dropped before Apply.
 *
 * \sa OwnershipSnapshot, Node
 */
class OwnershipView
{
public:
  /** \brief Applies the record at an offset; offsets must grow. */
  Verdict Apply(Offset aOffset, const OwnershipRecord& aRecord);

  /** \brief Offset applied last; 0 before the first. */
  Offset Applied() const { return m_applied; }

  const PlannerTerm& Term() const { return m_term; }
  const std::map<DaemonId, Member>& Members() const { return m_members; }
  const std::map<DaemonId, GoneDaemon>& Gone() const { return m_gone; }
  const std::map<EntryKey, EntryChain>& Entries() const { return m_entries; }
  const std::map<DaemonId, WitnessSets>& Witnesses() const
  {
    return m_witnesses;
  }

  /** \brief nullptr if there is none. */
  const Member* FindMember(DaemonId aDaemon) const;
  const GoneDaemon* FindGone(DaemonId aDaemon) const;
  const EntryChain* FindChain(const EntryKey& aKey) const;
  const WitnessSets* FindWitnesses(DaemonId aLeaseholder) const;

  /** \brief Entries in whose chain a daemon has a rank. */
  const std::set<EntryKey>& EntriesOf(DaemonId aDaemon) const;

  /** \brief Whether a RetireRecord of this leaseholder would be accepted. */
  bool IsRetirable(DaemonId aLeaseholder) const;

  /** \brief Leaseholders for which a daemon is a witness, in force or pending.
   */
  const std::set<DaemonId>& LeaseholdersOf(DaemonId aWitness) const;

  /** \brief The entry that governs a key: its own if pinned, or its range's. */
  EntryKey Resolve(const ServiceName& aService,
                   RangeIndex aRange,
                   const std::string& aKey) const;

  /**
   * \brief Daemons that may hold an entry, the likeliest first.
   *
   * The recorded holder comes first, then those that may follow it; daemons
   * recorded as gone are left out. Empty if there is no such entry.
   */
  std::vector<DaemonId> Route(const EntryKey& aKey) const;

  /** \brief All holders of the current entry are gone: assign it anew. */
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
