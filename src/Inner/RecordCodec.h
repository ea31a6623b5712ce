#ifndef PISTACHIOSHIFT_INNER_RECORDCODEC_H
#define PISTACHIOSHIFT_INNER_RECORDCODEC_H

#include <string>
#include <string_view>

#include "src/Document/Edit.h"
#include "src/Document/Snapshot.h"
#include "src/Ownership/Records.h"
#include "src/Ownership/View.h"

namespace pistachioshift {

/**
 * \brief Encode and decode the bodies of log records and checkpoints in
 * Thrift's compact protocol. The Decode functions throw InnerError for
 * malformed data.
 */
std::string EncodeOwnershipRecord(const OwnershipRecord& aRecord);
OwnershipRecord DecodeOwnershipRecord(std::string_view aBytes);

std::string EncodeDocumentEdit(const DocumentEdit& aEdit);
DocumentEdit DecodeDocumentEdit(std::string_view aBytes);

std::string EncodeOwnershipSnapshot(const OwnershipSnapshot& aSnapshot);
OwnershipSnapshot DecodeOwnershipSnapshot(std::string_view aBytes);

std::string EncodeDocumentSnapshot(const DocumentSnapshot& aSnapshot);
DocumentSnapshot DecodeDocumentSnapshot(std::string_view aBytes);

}

#endif
