#include "src/Document/TableReader.h"

#include <utility>

#include <fmt/format.h>

#include "src/Document/Parser.h"

namespace pistachioshift::internal {

TextPosition
PositionOf(const toml::node& aNode)
{
  const auto& begin = aNode.source().begin;
  return TextPosition{ begin.line, begin.column };
}

TableReader::TableReader(const toml::table& aTable, std::string aPath)
  : m_table(aTable)
  , m_path(std::move(aPath))
{
}

std::string
TableReader::PathOf(std::string_view aField) const
{
  return m_path.empty() ? std::string(aField)
                        : fmt::format("{}.{}", m_path, aField);
}

void
TableReader::Fail(std::string_view aField, const std::string& aProblem) const
{
  const auto* node = m_table.get(aField);
  const auto position = node ? PositionOf(*node) : Position();
  throw ParseError(position, PathOf(aField), aProblem);
}

void
TableReader::FailMissing(std::string_view aField) const
{
  throw ParseError(Position(), PathOf(aField), "is required");
}

const toml::node*
TableReader::Take(std::string_view aField)
{
  m_read.emplace(aField);
  return m_table.get(aField);
}

std::optional<std::string>
TableReader::Text(std::string_view aField)
{
  const auto* node = Take(aField);
  if (!node) {
    return std::nullopt;
  }
  const auto* text = node->as_string();
  if (!text) {
    Fail(aField, "must be a string");
  }
  return text->get();
}

std::string
TableReader::Name(std::string_view aField)
{
  auto name = Require(aField, Text(aField));
  if (!IsDocumentName(name)) {
    Fail(aField,
         fmt::format("must be 1 to {} lower case letters, digits and dashes",
                     kMaxNameLength));
  }
  return name;
}

std::optional<bool>
TableReader::Flag(std::string_view aField)
{
  const auto* node = Take(aField);
  if (!node) {
    return std::nullopt;
  }
  const auto* flag = node->as_boolean();
  if (!flag) {
    Fail(aField, "must be true or false");
  }
  return flag->get();
}

std::optional<uint32_t>
TableReader::Integer(std::string_view aField, Bounds<uint32_t> aBounds)
{
  const auto* node = Take(aField);
  if (!node) {
    return std::nullopt;
  }
  const auto* integer = node->as_integer();
  const int64_t value = integer ? integer->get() : -1;
  if (!integer || value < aBounds.least || value > aBounds.most) {
    Fail(aField,
         fmt::format("must be a whole number from {} to {}",
                     aBounds.least,
                     aBounds.most));
  }
  return static_cast<uint32_t>(value);
}

std::optional<double>
TableReader::Real(std::string_view aField, Bounds<double> aBounds)
{
  const auto* node = Take(aField);
  if (!node) {
    return std::nullopt;
  }
  const auto value = node->value<double>();
  // Written so that NaN fails.
  const bool valid = node->is_number() && value && *value >= aBounds.least &&
                     *value <= aBounds.most;
  if (!valid) {
    Fail(aField,
         fmt::format(
           "must be a number from {} to {}", aBounds.least, aBounds.most));
  }
  return value;
}

const toml::array*
TableReader::TakeArray(std::string_view aField, size_t aMost)
{
  const auto* node = Take(aField);
  if (!node) {
    return nullptr;
  }
  const auto* array = node->as_array();
  if (!array) {
    Fail(aField, "must be an array");
  }
  if (array->size() > aMost) {
    Fail(aField, fmt::format("must have at most {} elements", aMost));
  }
  return array;
}

std::vector<std::string>
TableReader::Texts(std::string_view aField, size_t aMost)
{
  std::vector<std::string> texts;
  const auto* array = TakeArray(aField, aMost);
  if (!array) {
    return texts;
  }
  for (const auto& element : *array) {
    const auto* text = element.as_string();
    if (!text) {
      throw ParseError(
        PositionOf(element), PathOf(aField), "must hold strings only");
    }
    texts.push_back(text->get());
  }
  return texts;
}

std::vector<TableReader>
TableReader::Tables(std::string_view aField, size_t aMost)
{
  std::vector<TableReader> readers;
  const auto* array = TakeArray(aField, aMost);
  if (!array) {
    return readers;
  }
  for (const auto& element : *array) {
    const auto path = fmt::format("{}[{}]", PathOf(aField), readers.size());
    const auto* table = element.as_table();
    if (!table) {
      throw ParseError(PositionOf(element), path, "must be a table");
    }
    readers.emplace_back(*table, path);
  }
  return readers;
}

std::optional<TableReader>
TableReader::Table(std::string_view aField)
{
  const auto* node = Take(aField);
  if (!node) {
    return std::nullopt;
  }
  const auto* table = node->as_table();
  if (!table) {
    Fail(aField, "must be a table");
  }
  return TableReader(*table, PathOf(aField));
}

void
TableReader::Finish() const
{
  for (const auto& [key, node] : m_table) {
    if (m_read.contains(key.str())) {
      continue;
    }
    const auto& begin = key.source().begin;
    throw ParseError(TextPosition{ begin.line, begin.column },
                     PathOf(key.str()),
                     "is no field of this table");
  }
}

}
