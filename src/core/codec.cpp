/** @file codec.cpp SHA-256 digests by OpenSSL and CRC-32C checksums by Boost. */
#include "core/codec_func.h"

#include <absl/strings/escaping.h>
#include <boost/crc.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace bilberry {

Digest digestOf(const std::vector<std::string_view> &parts)
{
    EVP_MD_CTX *context = EVP_MD_CTX_new();
    EVP_DigestInit_ex(context, EVP_sha256(), nullptr);
    for (std::string_view part : parts) {
        const std::uint64_t length = part.size();
        EVP_DigestUpdate(context, &length, sizeof length);
        EVP_DigestUpdate(context, part.data(), part.size());
    }
    unsigned char hash[EVP_MAX_MD_SIZE];
    unsigned int size = 0;
    EVP_DigestFinal_ex(context, hash, &size);
    EVP_MD_CTX_free(context);
    return Digest(
        absl::BytesToHexString(absl::string_view(reinterpret_cast<const char *>(hash), size)));
}

bool equalConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint32_t checksumOf(std::string_view bytes)
{
    boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true> crc;
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

} // namespace bilberry
