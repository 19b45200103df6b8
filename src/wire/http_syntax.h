/// Syntax of the heads of HTTP/1.x messages.
#pragma once

#include <string_view>
#include <vector>

#include "wire/gen/driftlug_types.h"

namespace driftlug::wire {

/// What is invalid in a head.
enum class HttpHeadError {
  kNone,
  kStatusLine,   ///< the status line does not have the form of HTTP/1.x
  kStatus,       ///< the status is not one that HTTP has, or not one of a final response
  kFieldName,    ///< a field name is empty or holds a character that is not allowed in one, such as a blank
  kFoldedField,  ///< a line begins with a blank, so that it continues the one before
  kFieldValue,   ///< a field value holds a control character
};
constexpr size_t kHttpHeadErrors = 6;

/// @return the name of an error, for logs and metrics; kNone stands for errors of other kinds.
const char* nameOf(HttpHeadError error);

/// @return whether a character is allowed in a field name (RFC 9110, section 5.6.2).
bool isFieldNameCharacter(char character);

/// @return whether a character is allowed in a field value or a reason phrase (RFC 9110, section 5.5).
bool isFieldValueCharacter(char character);

/// @return whether a status has a class of HTTP (RFC 9110, section 15).
bool isHttpStatus(int status);

/// @return the first error of the fields of a message.
HttpHeadError checkFields(const std::vector<HttpHeader>& headers);

/// @return the first error of a final response.
HttpHeadError checkFinalResponse(int status, const std::vector<HttpHeader>& headers);

}  // namespace driftlug::wire
