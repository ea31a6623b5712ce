#ifndef PISTACHIOSHIFT_DOCUMENT_TABLEREADER_H
#define PISTACHIOSHIFT_DOCUMENT_TABLEREADER_H

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <toml++/toml.h>

#include "src/Document/Error.h"

namespace pistachioshift::internal {

/** \brief Bounds of a number, both included. */
template<class Number>
struct Bounds
{
  Number least;
  Number most;
};

TextPosition PositionOf(const toml::node& aNode);

/**
 * \brief Reads the fields of one TOML table with their checks.
 *
 * All errors are ParseErrors at the field, or at the table if the field is
 * missing. Finish() refuses the fields that were never asked for.
 */
class TableReader
{
public:
  /** \param aPath of the table, empty for the root. */
  TableReader(const toml::table& aTable, std::string aPath);

  TextPosition Position() const { return PositionOf(m_table); }

  /** \brief A required name in the document's alphabet. */
  std::string Name(std::string_view aField);

  std::optional<std::string> Text(std::string_view aField);
  std::optional<bool> Flag(std::string_view aField);
  std::optional<uint32_t> Integer(std::string_view aField,
                                  Bounds<uint32_t> aBounds);
  std::optional<double> Real(std::string_view aField, Bounds<double> aBounds);

  /** \brief Array of texts; empty if the field is missing. */
  std::vector<std::string> Texts(std::string_view aField, size_t aMost);

  /** \brief Readers of an array of tables; empty if the field is missing. */
  std::vector<TableReader> Tables(std::string_view aField, size_t aMost);

  /** \brief Reader of a table within; none if the field is missing. */
  std::optional<TableReader> Table(std::string_view aField);

  template<class Value>
  Value Require(std::string_view aField, std::optional<Value> aValue) const
  {
    if (!aValue) {
      FailMissing(aField);
    }
    return *std::move(aValue);
  }

  /** \brief Throws for the first field that was not read. */
  void Finish() const;

  /** \brief Throws at the field, or at the table if it has none such. */
  [[noreturn]] void Fail(std::string_view aField,
                         const std::string& aProblem) const;

  bool Has(std::string_view aField) const { return m_table.contains(aField); }

private:
  const toml::node* Take(std::string_view aField);
  const toml::array* TakeArray(std::string_view aField, size_t aMost);
  std::string PathOf(std::string_view aField) const;
  [[noreturn]] void FailMissing(std::string_view aField) const;

  const toml::table& m_table;
  std::string m_path;
  std::set<std::string, std::less<>> m_read;
};

}

#endif
