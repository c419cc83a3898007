#ifndef YUCCAPICK_TEST_SHELL_TEST_CERTIFICATE_H_
#define YUCCAPICK_TEST_SHELL_TEST_CERTIFICATE_H_

/// @file
/// Self-signed certificates for tests, in temporary files that the destructor
/// removes.

#include <string>

#include "shell/settings.h"

namespace yuccapick {

/// A key and a certificate that is its own authority.
class TestCertificate {
 public:
  explicit TestCertificate(const std::string& name);
  ~TestCertificate();
  TestCertificate(const TestCertificate&) = delete;
  TestCertificate& operator=(const TestCertificate&) = delete;

  /// Returns settings that present this certificate and trust `authority`.
  TlsSettings SettingsTrusting(const TestCertificate& authority) const;

 private:
  std::string directory_;
};

}  // namespace yuccapick

#endif  // YUCCAPICK_TEST_SHELL_TEST_CERTIFICATE_H_
