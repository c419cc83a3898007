#ifndef YUCCAPICK_GATEWAY_STORE_ROWS_H_
#define YUCCAPICK_GATEWAY_STORE_ROWS_H_

/// @file
/// Decodes the store's answers to reads of rows.

#include "absl/status/statusor.h"
#include "gateway/http_status.h"
#include "gateway/store_client.h"
#include "platform/table_calls.h"

namespace yuccapick {

/// @return the rows; the error Unavailable if the store did not answer the read
///   or refused it, or an error that says why the rows can't be read
inline absl::StatusOr<platform::RowsAnswer> RowsOf(
    const absl::StatusOr<StoreAnswer>& answer) {
  if (!answer.ok() || answer->status != kHttpOk) {
    return absl::UnavailableError("no answer");
  }
  return platform::DecodeRows(answer->body);
}

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_STORE_ROWS_H_
