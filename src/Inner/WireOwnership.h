#ifndef PISTACHIOSHIFT_INNER_WIREOWNERSHIP_H
#define PISTACHIOSHIFT_INNER_WIREOWNERSHIP_H

#include <type_traits>
#include <vector>

#include "src/Inner/gen/records_types.h"
#include "src/Ownership/Records.h"
#include "src/Ownership/View.h"

namespace pistachioshift::internal {

wire::WireEntryKey ToWire(const EntryKey& aKey);
EntryKey FromWire(const wire::WireEntryKey& aKey);

wire::WireOwnershipRecord ToWire(const OwnershipRecord& aRecord);
OwnershipRecord FromWire(const wire::WireOwnershipRecord& aRecord);

wire::WireOwnershipSnapshot ToWire(const OwnershipSnapshot& aSnapshot);
OwnershipSnapshot FromWire(const wire::WireOwnershipSnapshot& aSnapshot);

/** Converts each element of a list. */
template<class Value, class Convert>
auto
MapList(const std::vector<Value>& aValues, Convert aConvert)
{
  std::vector<std::invoke_result_t<Convert, const Value&>> list;
  list.reserve(aValues.size());
  for (const auto& value : aValues) {
    list.push_back(aConvert(value));
  }
  return list;
}

/** Converts a list of strong ids to their underlying values. */
template<class Id>
auto
ToValues(const std::vector<Id>& aIds)
{
  std::vector<typename Id::RepType> values;
  values.reserve(aIds.size());
  for (const auto& id : aIds) {
    values.push_back(id.Value());
  }
  return values;
}

/** Converts values to a list of strong ids. */
template<class Id, class Value>
std::vector<Id>
FromValues(const std::vector<Value>& aValues)
{
  std::vector<Id> ids;
  ids.reserve(aValues.size());
  for (const auto& value : aValues) {
    ids.push_back(Id(value));
  }
  return ids;
}

}

#endif
