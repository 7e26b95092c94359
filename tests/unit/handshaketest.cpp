#include "handshake.h"

#include <catch2/catch.hpp>

using namespace camphorshunt;

namespace {

auto helloOf(const std::string& name) -> Hello { return { name, { 7 }, randomChallenge().value() }; }

} // namespace

TEST_CASE("A hello is decoded as it was encoded")
{
    const auto hello = helloOf("r1");
    const auto bytes = encodeHello(hello);
    auto read = Hello {};
    const auto length = decodeHelloHead(std::span(bytes).first<helloHeadBytes>(), read);
    CHECK(length.value() == 2);
    CHECK(read.incarnation == hello.incarnation);
    CHECK(read.challenge == hello.challenge);

    auto other = bytes;
    other[0] = 'X';
    CHECK(decodeHelloHead(std::span(other).first<helloHeadBytes>(), read).has_error());
}

TEST_CASE("A proof is valid only for its key, role, names, incarnations and challenges")
{
    const auto dialler = helloOf("r1");
    const auto acceptor = helloOf("r2");
    const auto proof = proveHello("key", HandshakeRole::Dialler, dialler, acceptor);
    CHECK(sameProof(proof, proveHello("key", HandshakeRole::Dialler, dialler, acceptor)));

    auto renamed = dialler;
    renamed.name = "r3";
    auto restarted = acceptor;
    restarted.incarnation = { 8 };
    auto replayed = acceptor;
    replayed.challenge = randomChallenge().value();
    CHECK(!sameProof(proof, proveHello("other", HandshakeRole::Dialler, dialler, acceptor)));
    CHECK(!sameProof(proof, proveHello("key", HandshakeRole::Acceptor, dialler, acceptor)));
    CHECK(!sameProof(proof, proveHello("key", HandshakeRole::Dialler, renamed, acceptor)));
    CHECK(!sameProof(proof, proveHello("key", HandshakeRole::Dialler, dialler, restarted)));
    CHECK(!sameProof(proof, proveHello("key", HandshakeRole::Dialler, dialler, replayed)));
}
