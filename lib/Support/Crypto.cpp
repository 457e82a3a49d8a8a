//===- Crypto.cpp - Digests, hashes and signatures by libsodium, xxHash ---===//
#include "pepperlug/Support.h"

#include <sodium.h>
#include <xxhash.h>

namespace pepperlug
{

namespace
{

void initSodium()
{
    static const int Result = sodium_init();
    if (Result < 0) {
        throw Error("start libsodium", "", "no source of random numbers");
    }
}

std::string toHex(const unsigned char *data, std::size_t size)
{
    std::string text(size * 2 + 1, '\0');
    sodium_bin2hex(text.data(), text.size(), data, size);
    text.pop_back();
    return text;
}

template <std::size_t Size>
std::optional<std::array<unsigned char, Size>> fromHex(std::string_view text)
{
    std::array<unsigned char, Size> bytes{};
    std::size_t n = 0;
    const char *end = nullptr;
    if (text.size() != Size * 2 || sodium_hex2bin(bytes.data(), Size, text.data(), text.size(), nullptr, &n, &end) != 0
        || n != Size) {
        return std::nullopt;
    }
    return bytes;
}

const unsigned char *bytesOf(std::string_view text)
{
    return reinterpret_cast<const unsigned char *>(text.data());
}

} // namespace

std::uint64_t hash64(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string digestOfSecret(std::string_view secret)
{
    constexpr std::string_view Key = "pepperlug: secrets of callers";
    static_assert(Key.size() >= crypto_generichash_KEYBYTES_MIN && Key.size() <= crypto_generichash_KEYBYTES_MAX);
    initSodium();
    std::string out(crypto_generichash_BYTES_MIN, '\0');
    crypto_generichash(reinterpret_cast<unsigned char *>(out.data()), out.size(), bytesOf(secret), secret.size(),
                       bytesOf(Key), Key.size());
    return out;
}

std::string digestHex(std::string_view text)
{
    initSodium();
    std::array<unsigned char, crypto_generichash_BYTES> out{};
    crypto_generichash(out.data(), out.size(), bytesOf(text), text.size(), nullptr, 0);
    return toHex(out.data(), out.size());
}

KeyPair makeKeyPair()
{
    initSodium();
    std::array<unsigned char, crypto_sign_PUBLICKEYBYTES> publicKey{};
    std::array<unsigned char, crypto_sign_SECRETKEYBYTES> secretKey{};
    crypto_sign_keypair(publicKey.data(), secretKey.data());
    return {toHex(publicKey.data(), publicKey.size()), toHex(secretKey.data(), secretKey.size())};
}

std::string signText(std::string_view text, const std::string &secretKeyHex)
{
    initSodium();
    const auto key = fromHex<crypto_sign_SECRETKEYBYTES>(secretKeyHex);
    if (!key) {
        throw Error("sign", "", "secret key is not 64 bytes of hex");
    }
    std::array<unsigned char, crypto_sign_BYTES> out{};
    crypto_sign_detached(out.data(), nullptr, bytesOf(text), text.size(), key->data());
    return toHex(out.data(), out.size());
}

bool verifyText(std::string_view text, const std::string &signatureHex, const std::string &publicKeyHex)
{
    initSodium();
    const auto signature = fromHex<crypto_sign_BYTES>(signatureHex);
    const auto key = fromHex<crypto_sign_PUBLICKEYBYTES>(publicKeyHex);
    if (!signature || !key) {
        return false;
    }
    return crypto_sign_verify_detached(signature->data(), bytesOf(text), text.size(), key->data()) == 0;
}

std::string randomHex(std::size_t bytes)
{
    initSodium();
    std::vector<unsigned char> buf(bytes);
    randombytes_buf(buf.data(), buf.size());
    return toHex(buf.data(), buf.size());
}

bool isHex(std::string_view text, std::size_t bytes)
{
    return text.size() == bytes * 2 && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace pepperlug
