package magpiehub.discovery;

import java.io.IOException;

/**
 * Registers a router in one kind of registry, with an entry that expires unless it is renewed. Each method sends its
 * calls on the given connection and blocks until they have ended. Not thread-safe.
 */
interface RegistrationProtocol {
    /**
     * Writes the entry.
     *
     * @return the time until the entry expires without a renewal (us)
     */
    long register(RegistryConnection connection) throws IOException;

    /**
     * Renews the entry.
     *
     * @return the time until the entry expires without another renewal (us)
     * @throws RegistrationLostException if the registry no longer has the entry
     */
    long keepAlive(RegistryConnection connection) throws IOException;

    /** Removes the entry. */
    void deregister(RegistryConnection connection) throws IOException;
}
