#ifndef PISTACHIOSHIFT_ROUTING_UPLOADADMISSION_H
#define PISTACHIOSHIFT_ROUTING_UPLOADADMISSION_H

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "src/Base/Clock.h"
#include "src/Base/Ids.h"
#include "src/Routing/AdmissionController.h"
#include "src/Routing/Outcome.h"

namespace pistachioshift {

/** \brief Largest body, in bytes, that is received whole before its request
 * queues for a slot. */
inline constexpr size_t kMaxUploadBytes = size_t{ 1 } << 20U;

struct UploadSettings
{
  /// Rate at which bodies are received, in bytes per second; 0: no limit.
  double bytesPerSecond = 0.0;
  /// Bytes of all admitted uploads that have not ended.
  size_t maxHeldBytes = size_t{ 16 } << 20U;
  /// Bodies that are in transfer at once, without those that have stalled.
  size_t maxTransfers = 4;
};

/** \brief Work of the backend server other than the uploads whose bodies are
 * still awaited. */
struct ServerBacklog
{
  size_t running = 0;
  size_t queued = 0;
  uint32_t slots = 1;         ///< Requests that may run at once.
  std::optional<double> rate; ///< Requests that may start per second.
  Duration service{};         ///< Expected service time.
};

struct UploadRequest
{
  RequestId id;
  size_t bytes = 0;  ///< Of the body.
  MonoTime due;      ///< When the answer should be there.
  MonoTime deadline; ///< From when on the answer is of no use.
};

/** \brief Actions that the caller must carry out now. */
struct UploadActions
{
  std::vector<RequestId> grants; ///< Credit for the whole body.
  std::vector<AdmissionRefusal> refusals;
  std::vector<RequestId> stalled; ///< Lost their turn; not refused.
};

/**
 * \brief Decides which uploads one host receives, and in which order.
 *
 * A link that is saturated with bodies delays every heartbeat and small
 * request. Bodies are therefore received at a given rate, a few at a time. An
 * upload that could not be received, served and answered in time behind the
 * uploads admitted before it is refused before any byte of its body is sent.
 *
 * Small bodies go first, in the order of arrival, and may use half of the rate
 * ahead of the budget, so that they don't wait for a large body in transfer.
 * The others follow by the time that remains beyond what they need. A transfer
 * without progress loses its turn, and keeps its credit.
 *
 * Each admitted upload ends by End() or by a refusal in UploadActions. Does no
 * input or output and reads no clock.
 */
class UploadAdmission
{
public:
  UploadAdmission(const UploadSettings& aSettings, MonoTime aNow);

  /**
   * \brief Admits an upload or refuses it.
   * \return the refusal, with the time until room is expected; none if the
   * upload was admitted. Advance() then returns its grant.
   */
  std::optional<AdmissionRefusal> Submit(const UploadRequest& aRequest,
                                         const ServerBacklog& aServer,
                                         MonoTime aNow);

  /** \brief Bytes of a body have arrived; unknown ids are ignored. */
  void OnBytes(const RequestId& aId, size_t aBytes, MonoTime aNow);

  /** \brief The body is complete. Its bytes are held until End(). */
  void OnReceived(const RequestId& aId, MonoTime aNow);

  /** \brief Releases what an upload holds; unknown ids are ignored. */
  void End(const RequestId& aId, MonoTime aNow);

  /** \brief Request bytes that arrived without a grant use the link too. */
  void OnOtherBytes(size_t aBytes, MonoTime aNow);

  /** \brief Grants whose turn it is, uploads that have become too late, and
   * transfers that have lost their turn. */
  UploadActions Advance(MonoTime aNow);

  /** \brief Time of the next call of Advance(); none if nothing waits. */
  std::optional<MonoTime> NextWakeup(MonoTime aNow) const;

  size_t HeldBytes() const { return m_heldBytes; }
  size_t Waiting() const { return m_waiting.size(); }
  size_t Transfers() const { return m_transfers; }

private:
  enum class State : uint8_t
  {
    kWaiting,
    kTransfer, ///< In transfer, and counted in m_transfers.
    kStalled,  ///< In transfer, without a turn.
    kReceived,
  };

  struct Upload
  {
    size_t bytes = 0;
    size_t received = 0;
    MonoTime latestGrant; ///< To be answered when due.
    MonoTime expires;     ///< Latest grant to be answered by the deadline.
    State state = State::kWaiting;
    uint64_t sequence = 0;
    MonoTime progressAt;
    MonoTime turnEnds; ///< However steady the progress.
  };

  /** Position in the order of grants. */
  struct Place
  {
    bool large = false;
    MonoTime key;
    uint64_t sequence = 0;
    RequestId id;

    auto operator<=>(const Place&) const = default;
  };

  /** Token bucket; transfers may make it negative. */
  class Bucket
  {
  public:
    Bucket(double aRate, MonoTime aNow);
    bool IsOpen(MonoTime aNow) const { return Tokens(aNow) >= 0.0; }
    double Tokens(MonoTime aNow) const;
    /** \param aBytes negative to give tokens back. */
    void Consume(double aBytes, MonoTime aNow);
    /** \brief Time until it is open. */
    Duration Wait(MonoTime aNow) const;

  private:
    double m_rate;
    double m_tokens = 0.0;
    MonoTime m_at;
  };

  bool IsLimited() const { return m_settings.bytesPerSecond > 0.0; }
  bool IsSmall(const Upload& aUpload) const;
  Duration TransferTime(size_t aBytes) const;
  Place PlaceOf(const RequestId& aId, const Upload& aUpload) const;
  bool MayGrant(const Upload& aUpload, MonoTime aNow) const;
  Duration LinkExcess(const Place& aPlace,
                      const Upload& aUpload,
                      MonoTime aNow,
                      Duration& aStart) const;
  std::optional<AdmissionRefusal> RefusalOf(const Upload& aUpload,
                                            const UploadRequest& aRequest,
                                            const ServerBacklog& aServer,
                                            MonoTime aNow) const;
  std::optional<AdmissionRefusal> LinkRefusal(const Upload& aUpload,
                                              const UploadRequest& aRequest,
                                              MonoTime aNow) const;
  std::optional<AdmissionRefusal> SlotRefusal(const Upload& aUpload,
                                              const UploadRequest& aRequest,
                                              const ServerBacklog& aServer,
                                              MonoTime aNow) const;
  Duration SlotWait(const ServerBacklog& aServer) const;
  void RefuseExpired(UploadActions& aActions, MonoTime aNow);
  void YieldStalled(UploadActions& aActions, MonoTime aNow);
  void Grant(const RequestId& aId, MonoTime aNow);

  UploadSettings m_settings;
  Bucket m_budget;      ///< All bodies.
  Bucket m_smallBudget; ///< Small bodies that are granted ahead of m_budget.
  std::unordered_map<RequestId, Upload> m_uploads;
  std::set<Place> m_waiting;
  size_t m_heldBytes = 0;
  size_t m_transfers = 0;
  size_t m_pending = 0; ///< Uploads whose body is not complete.
  uint64_t m_sequence = 0;
};

}

#endif
