package org.wasabimount.cli;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.UUID;

/** Generates secrets, their hashes and idempotency keys. */
final class Secrets {

    private static final int SECRET_BYTES = 24;
    private static final SecureRandom RANDOM = new SecureRandom();
    private static final long VERSION_7 = 0x7000L;
    private static final long RANDOM_MASK = 0x0fffL;
    private static final int TIMESTAMP_SHIFT = 16;
    private static final long VARIANT = 0x8000000000000000L;
    private static final long VARIANT_MASK = 0x3fffffffffffffffL;

    private Secrets() {}

    static String newSecret() {
        byte[] bytes = new byte[SECRET_BYTES];
        RANDOM.nextBytes(bytes);
        return HexFormat.of().formatHex(bytes);
    }

    static String hash(String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(secret.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is required of every Java platform", e);
        }
    }

    /** Returns a version 7 UUID, which contains its creation time. */
    static UUID newKey(long nowMillis) {
        long mostSignificantBits = nowMillis << TIMESTAMP_SHIFT | VERSION_7 | RANDOM.nextLong() & RANDOM_MASK;
        return new UUID(mostSignificantBits, RANDOM.nextLong() & VARIANT_MASK | VARIANT);
    }
}
