#ifndef YUCCAPICK_MEMORY_BUDGET_H_
#define YUCCAPICK_MEMORY_BUDGET_H_

/// @file
/// Bounds the memory that requests, answers and connections take together.

#include <cstddef>
#include <memory>
#include <utility>

namespace yuccapick {

class MemoryShare;

/// Counts the bytes that callers' connections, requests and answers hold. Large
/// requests and answers may take a part of the limit only, so that small ones
/// are served beside them.
class MemoryBudget {
 public:
  /// Requests of more bytes are large.
  static constexpr std::size_t kLargeBytes = 65'536;
  static constexpr double kLargeShare = 0.75;
  /// Unsent answers grow only while less than this share is in use.
  static constexpr double kAnswerShare = 0.5;
  /// One answer may take this part of what is left of `kAnswerShare`: many
  /// answers together then stay below it, however many they are.
  static constexpr double kOneAnswerShare = 0.25;
  /// Above this share, slow messages are ended. Below `kLargeShare`, so that
  /// this begins before requests are refused.
  static constexpr double kPressureShare = 0.6;

  /// @param limit in bytes; 0 if there is none
  explicit MemoryBudget(std::size_t limit) : limit_(limit) {}
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  std::size_t used() const { return used_; }
  std::size_t limit() const { return limit_; }
  /// True if messages that make little progress should be ended.
  bool under_pressure() const;
  /// @return bytes that one caller's unsent answer may take at present
  std::size_t AnswerAllowance() const;
  /// Number of requests that found no room.
  std::size_t refused() const { return refused_; }

 private:
  friend class MemoryShare;

  /// @param from bytes held by the request before
  /// @param to bytes that it needs
  /// @return false if there is no room; the request holds what it held before
  bool Resize(std::size_t from, std::size_t to);
  void Replace(std::size_t from, std::size_t to) { used_ = used_ - from + to; }

  std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t refused_ = 0;
};

/// What one request holds of a budget; returned by the destructor.
class MemoryShare {
 public:
  /// Holds nothing of any budget.
  MemoryShare() = default;
  explicit MemoryShare(std::shared_ptr<MemoryBudget> budget)
      : budget_(std::move(budget)) {}
  ~MemoryShare() { Release(); }
  MemoryShare(MemoryShare&& other) noexcept
      : budget_(std::move(other.budget_)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryShare& operator=(MemoryShare&& other) noexcept;
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  /// @return false if the budget has no room; the share stays as it is
  bool Resize(std::size_t bytes);
  /// Counts memory that is in use already, also beyond the limit.
  void Set(std::size_t bytes);
  void Release();
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<MemoryBudget> budget_;
  std::size_t bytes_ = 0;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_MEMORY_BUDGET_H_
