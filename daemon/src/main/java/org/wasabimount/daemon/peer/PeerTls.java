package org.wasabimount.daemon.peer;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;

/** The mutual TLS between daemons, configured by PEM files that are reloaded when they change. */
public final class PeerTls {

    private static final System.Logger LOG = System.getLogger("wasabimount.peer");

    private final Path certificate;
    private final Path key;
    private final Path authority;
    private volatile SslContext server;
    private volatile SslContext client;
    private FileTime loadedModificationTime;

    /**
     * Loads the PEM files.
     *
     * @param certificate this VM's certificate chain
     * @param key this VM's private key in PKCS #8 format
     * @param authority the certificates of the authority that signs every daemon's certificate
     * @throws IOException if a file can't be read or is invalid
     */
    public PeerTls(Path certificate, Path key, Path authority) throws IOException {
        this.certificate = certificate;
        this.key = key;
        this.authority = authority;
        load();
    }

    SslContext server() {
        return server;
    }

    SslContext client() {
        return client;
    }

    /** Reloads the files if they have changed; applies to new connections, not to open ones. */
    void reloadIfChanged() {
        try {
            if (!Files.getLastModifiedTime(certificate).equals(loadedModificationTime)) {
                load();
                LOG.log(System.Logger.Level.INFO, "PEER certificate reloaded");
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "PEER certificate could not be reloaded: {0}", e.getMessage());
        }
    }

    private void load() throws IOException {
        File certificateFile = certificate.toFile();
        try {
            server = SslContextBuilder.forServer(certificateFile, key.toFile())
                    .trustManager(authority.toFile())
                    .clientAuth(ClientAuth.REQUIRE)
                    .build();
            client = SslContextBuilder.forClient()
                    .keyManager(certificateFile, key.toFile())
                    .trustManager(authority.toFile())
                    .endpointIdentificationAlgorithm(null)
                    .build();
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid certificate or key for TLS between daemons", e);
        }
        loadedModificationTime = Files.getLastModifiedTime(certificate);
    }
}
