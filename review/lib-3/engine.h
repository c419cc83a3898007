#ifndef YUCCAPICK_REVIEW_LIB_3_ENGINE_H_
#define YUCCAPICK_REVIEW_LIB_3_ENGINE_H_

/// @file
/// Stand-ins for a model server and for a client of a streaming route.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fleet.h"

namespace review {

struct EngineOptions {
  std::string name;  ///< The id of each start begins with it.
  std::string service;
  std::string software = "1";
  Endpoint endpoint;
  int slots = 64;
  int events = 10;  ///< Of a stream.
  std::int64_t first_event_ms = 20;
  std::int64_t event_gap_ms = 50;
  /// How long the server is down after a crash.
  std::int64_t down_ms = 3'000;
  /// True for a request on which the server crashes as its answer begins.
  std::function<bool(const Message&)> crashes_on = [](const Message&) {
    return false;
  };
};

/// A model server. It registers in the store under a new id at each start.
class Engine {
 public:
  Engine(EngineOptions options, Store& store, Record& record);
  ~Engine() { Stop(); }
  Engine(const Engine&) = delete;
  Engine& operator=(const Engine&) = delete;

  bool Start();
  void Stop();
  /// Writes the entry to the store.
  void Register();
  /// Sends nothing and reads nothing for a while, and goes on.
  void FallSilent(std::int64_t ms) { silent_until_ = NowMs() + ms; }
  /// Rejects all new requests.
  void SetFull(bool full) { full_ = full; }
  int crashes() const { return crashes_; }
  std::vector<std::int64_t> crash_times() const;

 private:
  Json Entry() const;
  bool Handle(const Message& request, Connection& connection);
  bool HandleStream(const Message& request, Connection& connection);
  bool WriteStream(const Message& request, Connection& connection) const;
  void AwaitEndOfSilence() const;
  void Crash();
  std::string id() const;

  EngineOptions options_;
  Store& store_;
  Record& record_;
  HttpServer server_;
  mutable std::mutex mutex_;
  std::string id_;
  std::int64_t born_ = 0;
  int starts_ = 0;
  std::atomic<int> crashes_{0};
  std::vector<std::int64_t> crash_times_;
  std::atomic<bool> crashing_{false};
  std::atomic<bool> stopped_{false};
  std::atomic<int> restarts_pending_{0};
  std::atomic<std::int64_t> silent_until_{0};
  std::atomic<bool> full_{false};
};

/// Manifest with one route to one model service.
struct ManifestOptions {
  std::string host = "desk.example";
  std::string prefix = "/notes/";
  std::string service = "models";
  std::string key = "key-0001";
  int version = 1;
  int timeout_ms = 15'000;
  int target_latency_ms = 400;
  int gap_target_ms = 400;
  int max_attempts = 2;
  bool resumable = true;
};
Json MakeManifest(const ManifestOptions& options);

/// One attempt of a client's stream.
struct StreamRequest {
  std::string attempt_id;
  std::string path = "/notes/1";
  std::string host = "desk.example";
  std::string key = "key-0001";
  std::string parts;
  std::string body = "{}";
  std::string resumes;
  int last_event_id = 0;
  std::int64_t time_limit_ms = 15'000;
  /// Ends the attempt, as seen from the client.
  std::atomic<bool>* cancel = nullptr;
};
struct StreamResult {
  int status = 0;  ///< 0 if there was no answer.
  std::vector<int> events;
  std::vector<std::string> software;  ///< That wrote the events.
  bool complete = false;
  double retry_after_s = 0;
};
StreamResult RunStream(const Endpoint& gateway, const StreamRequest& request);

}  // namespace review

#endif  // YUCCAPICK_REVIEW_LIB_3_ENGINE_H_
