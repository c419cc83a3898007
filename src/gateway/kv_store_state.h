#ifndef YUCCAPICK_GATEWAY_KV_STORE_STATE_H_
#define YUCCAPICK_GATEWAY_KV_STORE_STATE_H_

/// @file
/// What a gateway knows of one kept-KV store.

#include <cstdint>

#include "yuccapick/part_directory.h"
#include "yuccapick/transfer_link.h"

namespace yuccapick {

struct KvStoreState {
  bool watched = false;  ///< This gateway itself polls the store's events.
  bool usable = true;    ///< False while the store doesn't answer.
  bool lost_by_peers = false;  ///< A peer that watches it gets no answer.
  Incarnation incarnation;     ///< 0 before it is known.
  TransferLink link;
  /// Tokens sent over the link and not yet reported to peers.
  std::uint64_t unreported_tokens = 0;
  /// Parts saved to the store and not yet reported to peers.
  PartChain unreported_exports;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_GATEWAY_KV_STORE_STATE_H_
