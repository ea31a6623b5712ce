#include "src/Routing/UploadAdmission.h"

#include <algorithm>

#include "src/Routing/Seconds.h"

namespace pistachioshift {

using internal::FromSeconds;
using internal::Seconds;

namespace {

using std::chrono::milliseconds;

/** Bodies up to this size go first. They are an eighth of the bytes where the
 * mean is 60 KB and sizes are distributed exponentially. */
constexpr size_t kSmallBytes = size_t{ 32 } * 1024;

/** Share of the rate that small bodies may use ahead of the budget. Large ones
 * keep the rest, so that neither stops the other. */
constexpr double kSmallShare = 0.5;

/** Part of the time left in which a body may wait for its turn. A longer queue
 * adds latency and no throughput; the rest covers slow senders. */
constexpr double kMaxWaitShare = 0.5;

/** Time in which the link may be idle without its share being lost. */
constexpr double kBurstSeconds = 0.02;

/** Bytes that came without a grant delay grants by at most this time of the
 * link: a body without an end would stop uploads for good. */
constexpr double kMaxOtherDebtSeconds = 0.25;

/** Time without a byte after which a transfer loses its turn; above the round
 * trip between zones, in which the first byte arrives. */
constexpr Duration kStallTime = milliseconds(100);

/** A turn lasts for this multiple of the time that the body needs at the full
 * rate, and kStallTime. */
constexpr int kTurnFactor = 2;

/** A body shares the link with the end of the one before and with small ones,
 * so it is expected to take this multiple of the time that it needs alone.
 * With 1, bodies of about 110 KB were late in bursts of 2.5 times the rate. */
constexpr double kSharedFactor = 1.5;

/** Least value for a refusal: the way of the answer to the sender. */
constexpr Duration kMinRetryAfter = milliseconds(20);

/** Reserved for the messages between the daemons and for the answer. */
constexpr Duration kAnswerMargin = milliseconds(20);

}

UploadAdmission::Bucket::Bucket(double aRate, MonoTime aNow)
  : m_rate(aRate)
  , m_at(aNow)
{
}

double
UploadAdmission::Bucket::Tokens(MonoTime aNow) const
{
  return std::min(m_tokens + m_rate * Seconds(aNow - m_at),
                  m_rate * kBurstSeconds);
}

void
UploadAdmission::Bucket::Consume(double aBytes, MonoTime aNow)
{
  m_tokens = Tokens(aNow) - aBytes;
  m_at = aNow;
}

Duration
UploadAdmission::Bucket::Wait(MonoTime aNow) const
{
  const auto debt = std::max(-Tokens(aNow), 0.0);
  return m_rate > 0.0 ? FromSeconds(debt / m_rate) : Duration{};
}

UploadAdmission::UploadAdmission(const UploadSettings& aSettings, MonoTime aNow)
  : m_settings(aSettings)
  , m_budget(aSettings.bytesPerSecond, aNow)
  , m_smallBudget(aSettings.bytesPerSecond * kSmallShare, aNow)
{
}

bool
UploadAdmission::IsSmall(const Upload& aUpload) const
{
  return aUpload.bytes <= kSmallBytes;
}

Duration
UploadAdmission::TransferTime(size_t aBytes) const
{
  const auto bytes = static_cast<double>(aBytes);
  return IsLimited() ? FromSeconds(bytes / m_settings.bytesPerSecond)
                     : Duration{};
}

UploadAdmission::Place
UploadAdmission::PlaceOf(const RequestId& aId, const Upload& aUpload) const
{
  Place place;
  place.large = !IsSmall(aUpload);
  place.key = place.large ? aUpload.latestGrant : MonoTime{};
  place.sequence = aUpload.sequence;
  place.id = aId;
  return place;
}

std::optional<AdmissionRefusal>
UploadAdmission::Submit(const UploadRequest& aRequest,
                        const ServerBacklog& aServer,
                        MonoTime aNow)
{
  if (m_uploads.contains(aRequest.id)) {
    return AdmissionRefusal{ aRequest.id, RefusalReason::kDuplicate, {} };
  }
  Upload upload;
  upload.bytes = aRequest.bytes;
  const auto alone = TransferTime(aRequest.bytes);
  const auto shared = FromSeconds(kSharedFactor * Seconds(alone));
  const auto after = aServer.service + kAnswerMargin;
  upload.latestGrant =
    std::min(aRequest.due, aRequest.deadline) - shared - after;
  upload.expires = aRequest.deadline - alone - after;
  upload.sequence = ++m_sequence;
  if (auto refusal = RefusalOf(upload, aRequest, aServer, aNow)) {
    return refusal;
  }
  m_heldBytes += upload.bytes;
  ++m_pending;
  m_waiting.insert(PlaceOf(aRequest.id, upload));
  m_uploads.emplace(aRequest.id, upload);
  return std::nullopt;
}

std::optional<AdmissionRefusal>
UploadAdmission::RefusalOf(const Upload& aUpload,
                           const UploadRequest& aRequest,
                           const ServerBacklog& aServer,
                           MonoTime aNow) const
{
  if (m_heldBytes + aUpload.bytes > m_settings.maxHeldBytes) {
    const auto excess = m_heldBytes + aUpload.bytes - m_settings.maxHeldBytes;
    const auto wait = std::max(TransferTime(excess), aServer.service);
    return AdmissionRefusal{ aRequest.id,
                             RefusalReason::kOverloaded,
                             std::max(wait, kMinRetryAfter) };
  }
  // An estimate that refuses all requests would never be corrected, so a host
  // without uploads tries each one that its link can receive in time.
  const bool isIdle =
    m_uploads.empty() && aServer.queued == 0 && aServer.running < aServer.slots;
  if (isIdle) {
    const auto received =
      aNow + m_budget.Wait(aNow) + TransferTime(aUpload.bytes) + kAnswerMargin;
    if (received < aRequest.deadline) {
      return std::nullopt;
    }
    return AdmissionRefusal{ aRequest.id,
                             RefusalReason::kCannotFinish,
                             std::max(m_budget.Wait(aNow), kMinRetryAfter) };
  }
  if (auto refusal = LinkRefusal(aUpload, aRequest, aNow)) {
    return refusal;
  }
  return SlotRefusal(aUpload, aRequest, aServer, aNow);
}

/**
 * Time by which the upload, or one that it would delay, would start too late.
 * \param aStart set to the wait of the upload itself.
 */
Duration
UploadAdmission::LinkExcess(const Place& aPlace,
                            const Upload& aUpload,
                            MonoTime aNow,
                            Duration& aStart) const
{
  auto start = m_budget.Wait(aNow);
  auto position = m_waiting.begin();
  for (; position != m_waiting.end() && *position < aPlace; ++position) {
    start += TransferTime(m_uploads.at(position->id).bytes);
  }
  aStart = start;
  auto excess = aNow + start - aUpload.latestGrant;
  start += TransferTime(aUpload.bytes);
  for (; position != m_waiting.end(); ++position) {
    const auto& other = m_uploads.at(position->id);
    excess = std::max(excess, aNow + start - other.latestGrant);
    start += TransferTime(other.bytes);
  }
  return excess;
}

std::optional<AdmissionRefusal>
UploadAdmission::LinkRefusal(const Upload& aUpload,
                             const UploadRequest& aRequest,
                             MonoTime aNow) const
{
  if (aUpload.latestGrant < aNow) {
    // Not in time even if it were granted now.
    return AdmissionRefusal{ aRequest.id,
                             RefusalReason::kCannotFinish,
                             std::max(m_budget.Wait(aNow), kMinRetryAfter) };
  }
  Duration start{};
  const auto excess =
    LinkExcess(PlaceOf(aRequest.id, aUpload), aUpload, aNow, start);
  const auto left = std::min(aRequest.due, aRequest.deadline) - aNow;
  const auto allowed = FromSeconds(kMaxWaitShare * Seconds(left));
  const auto over = std::max(excess, start - allowed);
  if (over <= Duration{}) {
    return std::nullopt;
  }
  return AdmissionRefusal{ aRequest.id,
                           RefusalReason::kOverloaded,
                           std::max(over, kMinRetryAfter) };
}

/** Time until a slot is free behind all requests here, uploads included. */
Duration
UploadAdmission::SlotWait(const ServerBacklog& aServer) const
{
  const auto ahead = static_cast<double>(aServer.queued + m_pending);
  const auto running = static_cast<double>(aServer.running);
  const auto slots = static_cast<double>(std::max<uint32_t>(aServer.slots, 1));
  // Running requests have half of their service time left on average.
  const auto work = running + ahead < slots ? 0.0 : running / 2 + ahead;
  auto wait = work * Seconds(aServer.service) / slots;
  if (aServer.rate) {
    constexpr double kMinRate = 0.1;
    wait = std::max(wait, ahead / std::max(*aServer.rate, kMinRate));
  }
  return FromSeconds(wait);
}

std::optional<AdmissionRefusal>
UploadAdmission::SlotRefusal(const Upload& aUpload,
                             const UploadRequest& aRequest,
                             const ServerBacklog& aServer,
                             MonoTime aNow) const
{
  // Other requests queue only while the body is received, and less than a
  // service time longer: the queue of an overloaded server takes no more.
  const auto received = m_budget.Wait(aNow) + TransferTime(aUpload.bytes);
  const auto slot = SlotWait(aServer);
  const auto due = std::min(aRequest.due, aRequest.deadline);
  const auto late =
    aNow + std::max(received, slot) + aServer.service + kAnswerMargin - due;
  const auto over = std::max(late, slot - received - aServer.service);
  if (over <= Duration{}) {
    return std::nullopt;
  }
  return AdmissionRefusal{ aRequest.id,
                           RefusalReason::kOverloaded,
                           std::max(over, kMinRetryAfter) };
}

void
UploadAdmission::OnBytes(const RequestId& aId, size_t aBytes, MonoTime aNow)
{
  const auto found = m_uploads.find(aId);
  if (found == m_uploads.end()) {
    return;
  }
  auto& upload = found->second;
  upload.received = std::min(upload.bytes, upload.received + aBytes);
  upload.progressAt = aNow;
}

void
UploadAdmission::OnReceived(const RequestId& aId, MonoTime aNow)
{
  const auto found = m_uploads.find(aId);
  if (found == m_uploads.end() || found->second.state == State::kReceived) {
    return;
  }
  auto& upload = found->second;
  if (upload.state == State::kWaiting) {
    m_waiting.erase(PlaceOf(aId, upload));
  } else if (upload.state == State::kTransfer) {
    --m_transfers;
  }
  upload.state = State::kReceived;
  upload.progressAt = aNow;
  --m_pending;
}

void
UploadAdmission::End(const RequestId& aId, MonoTime aNow)
{
  const auto found = m_uploads.find(aId);
  if (found == m_uploads.end()) {
    return;
  }
  const auto upload = found->second;
  const bool granted =
    upload.state == State::kTransfer || upload.state == State::kStalled;
  if (granted) {
    // What has not arrived does not use the link.
    const auto missing = static_cast<double>(upload.bytes - upload.received);
    m_budget.Consume(-missing, aNow);
  }
  OnReceived(aId, aNow);
  m_heldBytes -= upload.bytes;
  m_uploads.erase(found);
}

void
UploadAdmission::OnOtherBytes(size_t aBytes, MonoTime aNow)
{
  const auto least = -m_settings.bytesPerSecond * kMaxOtherDebtSeconds;
  const auto tokens = m_budget.Tokens(aNow);
  const auto bytes =
    std::min(static_cast<double>(aBytes), std::max(tokens - least, 0.0));
  m_budget.Consume(bytes, aNow);
}

bool
UploadAdmission::MayGrant(const Upload& aUpload, MonoTime aNow) const
{
  return !IsLimited() || m_budget.IsOpen(aNow) ||
         (IsSmall(aUpload) && m_smallBudget.IsOpen(aNow));
}

void
UploadAdmission::Grant(const RequestId& aId, MonoTime aNow)
{
  auto& upload = m_uploads.at(aId);
  m_waiting.erase(PlaceOf(aId, upload));
  const auto bytes = static_cast<double>(upload.bytes);
  m_budget.Consume(bytes, aNow);
  if (IsSmall(upload)) {
    m_smallBudget.Consume(bytes, aNow);
  }
  upload.state = State::kTransfer;
  upload.progressAt = aNow;
  upload.turnEnds =
    aNow + kTurnFactor * TransferTime(upload.bytes) + kStallTime;
  ++m_transfers;
}

void
UploadAdmission::RefuseExpired(UploadActions& aActions, MonoTime aNow)
{
  std::vector<RequestId> expired;
  for (const auto& place : m_waiting) {
    if (m_uploads.at(place.id).expires < aNow) {
      expired.push_back(place.id);
    }
  }
  for (const auto& id : expired) {
    End(id, aNow);
    aActions.refusals.push_back(
      { id,
        RefusalReason::kCannotFinish,
        std::max(m_budget.Wait(aNow), kMinRetryAfter) });
  }
}

void
UploadAdmission::YieldStalled(UploadActions& aActions, MonoTime aNow)
{
  for (auto& [id, upload] : m_uploads) {
    const bool stalled =
      aNow - upload.progressAt >= kStallTime || aNow >= upload.turnEnds;
    if (upload.state == State::kTransfer && stalled) {
      upload.state = State::kStalled;
      --m_transfers;
      aActions.stalled.push_back(id);
    }
  }
}

UploadActions
UploadAdmission::Advance(MonoTime aNow)
{
  UploadActions actions;
  RefuseExpired(actions, aNow);
  YieldStalled(actions, aNow);
  while (!m_waiting.empty() && m_transfers < m_settings.maxTransfers) {
    const auto id = m_waiting.begin()->id;
    if (!MayGrant(m_uploads.at(id), aNow)) {
      break;
    }
    Grant(id, aNow);
    actions.grants.push_back(id);
  }
  return actions;
}

std::optional<MonoTime>
UploadAdmission::NextWakeup(MonoTime aNow) const
{
  std::optional<MonoTime> earliest;
  const auto wake = [&](MonoTime aAt) {
    earliest = earliest ? std::min(*earliest, aAt) : aAt;
  };
  if (!m_waiting.empty() && m_transfers < m_settings.maxTransfers) {
    const auto& first = m_uploads.at(m_waiting.begin()->id);
    auto wait = m_budget.Wait(aNow);
    if (IsSmall(first)) {
      wait = std::min(wait, m_smallBudget.Wait(aNow));
    }
    wake(aNow + wait);
  }
  for (const auto& [id, upload] : m_uploads) {
    if (upload.state == State::kWaiting) {
      wake(upload.expires);
    } else if (upload.state == State::kTransfer) {
      wake(std::min(upload.progressAt + kStallTime, upload.turnEnds));
    }
  }
  return earliest;
}

}
