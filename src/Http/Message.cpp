#include "src/Http/Message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace pistachioshift {
namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
  "Connection", "Keep-Alive",        "Proxy-Connection",
  "TE",         "Trailer",           "Proxy-Authenticate",
  "Upgrade",    "Transfer-Encoding", "Proxy-Authorization",
};

char
ToLower(char aChar)
{
  return static_cast<char>(std::tolower(static_cast<unsigned char>(aChar)));
}

std::string_view
Trim(std::string_view aText)
{
  constexpr std::string_view kBlank = " \t";
  size_t first = aText.find_first_not_of(kBlank);
  if (first == std::string_view::npos) {
    return {};
  }
  size_t last = aText.find_last_not_of(kBlank);
  return aText.substr(first, last - first + 1);
}

/** Calls aVisit with each element of a comma-separated list. */
template<class Visit>
void
ForEachToken(std::string_view aList, Visit aVisit)
{
  while (!aList.empty()) {
    size_t comma = std::min(aList.find(','), aList.size());
    std::string_view token = Trim(aList.substr(0, comma));
    if (!token.empty()) {
      aVisit(token);
    }
    aList.remove_prefix(std::min(comma + 1, aList.size()));
  }
}

}

bool
EqualNames(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(),
    aLeft.end(),
    aRight.begin(),
    aRight.end(),
    [](char aOne, char aOther) { return ToLower(aOne) == ToLower(aOther); });
}

void
Headers::Add(std::string aName, std::string aValue)
{
  m_fields.push_back({ std::move(aName), std::move(aValue) });
}

void
Headers::Set(std::string_view aName, std::string aValue)
{
  Remove(aName);
  Add(std::string(aName), std::move(aValue));
}

size_t
Headers::Remove(std::string_view aName)
{
  return std::erase_if(m_fields, [&](const Header& aField) {
    return EqualNames(aField.name, aName);
  });
}

const std::string*
Headers::Find(std::string_view aName) const
{
  auto found =
    std::find_if(m_fields.begin(), m_fields.end(), [&](const Header& aField) {
      return EqualNames(aField.name, aName);
    });
  return found == m_fields.end() ? nullptr : &found->value;
}

bool
Headers::HasToken(std::string_view aName, std::string_view aToken) const
{
  bool found = false;
  for (const Header& field : m_fields) {
    if (EqualNames(field.name, aName)) {
      ForEachToken(field.value, [&](std::string_view aItem) {
        found = found || EqualNames(aItem, aToken);
      });
    }
  }
  return found;
}

void
StripHopByHop(Headers& aHeaders)
{
  std::vector<std::string> named;
  for (const Header& field : aHeaders) {
    if (EqualNames(field.name, "Connection")) {
      ForEachToken(field.value,
                   [&](std::string_view aItem) { named.emplace_back(aItem); });
    }
  }
  for (const std::string& name : named) {
    aHeaders.Remove(name);
  }
  for (std::string_view name : kHopByHop) {
    aHeaders.Remove(name);
  }
}

}
