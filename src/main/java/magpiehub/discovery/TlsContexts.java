package magpiehub.discovery;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.cert.Certificate;
import java.security.cert.CertificateFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import magpiehub.config.ConfigurationException;

/** Creates TLS contexts for clients that trust the given certificate authorities. */
final class TlsContexts {
    private TlsContexts() {}

    /**
     * Creates a context that trusts the authorities in a PEM file, or those of the JDK if the file is null.
     *
     * @throws ConfigurationException if the file contains no certificate or can't be parsed
     */
    static SSLContext trusting(Path authorities) throws IOException {
        try {
            SSLContext context = SSLContext.getInstance("TLS");
            if (authorities == null) {
                context.init(null, null, null);
                return context;
            }
            TrustManagerFactory factory = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            factory.init(readCertificates(authorities));
            context.init(null, factory.getTrustManagers(), null);
            return context;
        } catch (GeneralSecurityException e) {
            throw new ConfigurationException(
                    (authorities == null ? "TLS" : authorities.toString()) + ": " + e.getMessage());
        }
    }

    private static KeyStore readCertificates(Path authorities) throws GeneralSecurityException, IOException {
        KeyStore store = KeyStore.getInstance(KeyStore.getDefaultType());
        store.load(null, null);
        int count = 0;
        for (Certificate certificate : CertificateFactory.getInstance("X.509")
                .generateCertificates(new ByteArrayInputStream(Files.readAllBytes(authorities)))) {
            store.setCertificateEntry("ca" + count++, certificate);
        }
        if (count == 0) {
            throw new ConfigurationException(authorities + " contains no certificate");
        }
        return store;
    }
}
