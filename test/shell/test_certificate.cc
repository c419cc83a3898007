#include "test/shell/test_certificate.h"

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>

namespace yuccapick {
namespace {

constexpr long kValidSeconds = 3600;

using KeyPtr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using CertificatePtr = std::unique_ptr<X509, decltype(&X509_free)>;
using FilePtr = std::unique_ptr<std::FILE, decltype(&std::fclose)>;

FilePtr OpenForWriting(const std::string& name) {
  return {std::fopen(name.c_str(), "w"), &std::fclose};
}

CertificatePtr MakeSelfSigned(const std::string& name, EVP_PKEY* key) {
  CertificatePtr certificate(X509_new(), &X509_free);
  X509* x509 = certificate.get();
  X509_set_version(x509, X509_VERSION_3);
  ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
  X509_gmtime_adj(X509_getm_notBefore(x509), -kValidSeconds);
  X509_gmtime_adj(X509_getm_notAfter(x509), kValidSeconds);
  X509_set_pubkey(x509, key);
  X509_NAME* subject = X509_get_subject_name(x509);
  X509_NAME_add_entry_by_txt(
      subject, "CN", MBSTRING_ASC,
      reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
  X509_set_issuer_name(x509, subject);
  X509_sign(x509, key, EVP_sha256());
  return certificate;
}

}  // namespace

TestCertificate::TestCertificate(const std::string& name) {
  directory_ =
      (std::filesystem::temp_directory_path() / "yuccapick-XXXXXX").string();
  if (mkdtemp(directory_.data()) == nullptr) std::abort();
  const KeyPtr key(EVP_EC_gen("P-256"), &EVP_PKEY_free);
  const CertificatePtr certificate = MakeSelfSigned(name, key.get());
  const FilePtr key_file = OpenForWriting(directory_ + "/key.pem");
  PEM_write_PrivateKey(key_file.get(), key.get(), nullptr, nullptr, 0, nullptr,
                       nullptr);
  const FilePtr certificate_file = OpenForWriting(directory_ + "/cert.pem");
  PEM_write_X509(certificate_file.get(), certificate.get());
}

TestCertificate::~TestCertificate() {
  std::error_code ec;
  std::filesystem::remove_all(directory_, ec);
}

TlsSettings TestCertificate::SettingsTrusting(
    const TestCertificate& authority) const {
  TlsSettings settings;
  settings.certificate_file = directory_ + "/cert.pem";
  settings.key_file = directory_ + "/key.pem";
  settings.authority_file = authority.directory_ + "/cert.pem";
  return settings;
}

}  // namespace yuccapick
