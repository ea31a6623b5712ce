#ifndef PISTACHIOSHIFT_HTTP_MESSAGE_H
#define PISTACHIOSHIFT_HTTP_MESSAGE_H

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pistachioshift {

namespace internal {
constexpr size_t kKiB = 1024; ///< Bytes.
}

/** \brief One header field as received or to be sent. */
struct Header
{
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

/** \brief Header fields in their order; names compare without case. */
class Headers
{
public:
  Headers() = default;
  Headers(std::initializer_list<Header> aFields)
    : m_fields(aFields)
  {
  }

  /** \brief Appends a field, also if the name is there already. */
  void Add(std::string aName, std::string aValue);

  /** \brief Replaces all fields of that name by one. */
  void Set(std::string_view aName, std::string aValue);

  /** \brief Drops all fields of that name; \return how many. */
  size_t Remove(std::string_view aName);

  /** \brief Value of the first field of that name, nullptr if none. */
  const std::string* Find(std::string_view aName) const;

  /** \brief Whether a comma-separated list field contains the token. */
  bool HasToken(std::string_view aName, std::string_view aToken) const;

  size_t size() const { return m_fields.size(); }
  bool empty() const { return m_fields.empty(); }
  auto begin() const { return m_fields.begin(); }
  auto end() const { return m_fields.end(); }
  bool operator==(const Headers&) const = default;

private:
  std::vector<Header> m_fields;
};

/**
 * \brief Request line and header fields.
 *
 * When sent, `contentLength` and `chunked` decide the framing, and fields that
 * speak of framing or of the connection are left out of `headers`.
 */
struct RequestHead
{
  std::string method; ///< In upper case.
  std::string target; ///< Origin form: path and query, starts with '/'.
  Headers headers;
  std::optional<uint64_t> contentLength; ///< Bytes.
  bool chunked = false; ///< Body of unknown length; excludes contentLength.

  bool HasBody() const { return chunked || contentLength.value_or(0) > 0; }
};

/**
 * \brief Status line and header fields.
 *
 * Without `contentLength` the body is sent chunked.
 */
struct ResponseHead
{
  int status = 200;
  Headers headers;
  std::optional<uint64_t> contentLength; ///< Bytes.
};

/** \brief Whether two header names are the same, without case. */
bool EqualNames(std::string_view aLeft, std::string_view aRight);

/**
 * \brief Drops the fields that concern one connection only: Connection, those
 * it names, Keep-Alive, TE, Trailer, Transfer-Encoding, Upgrade, Proxy-*.
 */
void StripHopByHop(Headers& aHeaders);

}

#endif
