#include "wire/http_syntax.h"

#include <algorithm>
#include <array>

namespace driftlug::wire {
namespace {

constexpr int kFirstStatus = 100;
constexpr int kFirstFinalStatus = 200;
constexpr int kLastStatus = 599;
constexpr unsigned char kDelete = 0x7f;

constexpr std::array<bool, 256> makeFieldNameCharacters() {
  std::array<bool, 256> allowed{};
  for (int c = '0'; c <= '9'; ++c) allowed[static_cast<size_t>(c)] = true;
  for (int c = 'A'; c <= 'Z'; ++c) allowed[static_cast<size_t>(c)] = true;
  for (int c = 'a'; c <= 'z'; ++c) allowed[static_cast<size_t>(c)] = true;
  for (const char c : std::string_view("!#$%&'*+-.^_`|~")) allowed[static_cast<size_t>(c)] = true;
  return allowed;
}

constexpr auto kFieldNameCharacters = makeFieldNameCharacters();

}  // namespace

const char* nameOf(HttpHeadError error) {
  switch (error) {
    case HttpHeadError::kNone:
      return "other";
    case HttpHeadError::kStatusLine:
      return "status_line";
    case HttpHeadError::kStatus:
      return "status";
    case HttpHeadError::kFieldName:
      return "field_name";
    case HttpHeadError::kFoldedField:
      return "folded_field";
    case HttpHeadError::kFieldValue:
      return "field_value";
  }
  return "other";
}

bool isFieldNameCharacter(char character) { return kFieldNameCharacters[static_cast<unsigned char>(character)]; }

bool isFieldValueCharacter(char character) {
  const auto code = static_cast<unsigned char>(character);
  return character == '\t' || (code >= ' ' && code != kDelete);
}

bool isHttpStatus(int status) { return status >= kFirstStatus && status <= kLastStatus; }

HttpHeadError checkFields(const std::vector<HttpHeader>& headers) {
  for (const auto& header : headers) {
    if (header.name.empty() || !std::all_of(header.name.begin(), header.name.end(), isFieldNameCharacter)) {
      return HttpHeadError::kFieldName;
    }
    if (!std::all_of(header.value.begin(), header.value.end(), isFieldValueCharacter)) {
      return HttpHeadError::kFieldValue;
    }
  }
  return HttpHeadError::kNone;
}

HttpHeadError checkFinalResponse(int status, const std::vector<HttpHeader>& headers) {
  if (!isHttpStatus(status) || status < kFirstFinalStatus) return HttpHeadError::kStatus;
  return checkFields(headers);
}

}  // namespace driftlug::wire
