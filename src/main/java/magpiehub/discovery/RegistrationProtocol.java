package magpiehub.discovery;

import java.io.IOException;

/**
 * How a router's own entry is written to one kind of registry, so that it expires unless it is renewed. Each method
 * makes its calls on the connection that it is given and blocks until they are over. One thread at a time.
 */
interface RegistrationProtocol {
    /**
     * Writes the entry.
     *
     * @return how long it stands without a renewal (us)
     */
    long register(RegistryConnection connection) throws IOException;

    /**
     * Renews the entry.
     *
     * @return how long it stands without another renewal (us)
     * @throws RegistrationLostException if the registry no longer has the entry
     */
    long keepAlive(RegistryConnection connection) throws IOException;

    /** Removes the entry. */
    void deregister(RegistryConnection connection) throws IOException;
}
