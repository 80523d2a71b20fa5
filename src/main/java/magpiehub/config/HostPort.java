package magpiehub.config;

import java.net.InetSocketAddress;

/** Network addresses in the form {@code host:port}, as used in settings and endpoint lists. */
public final class HostPort {
    private static final int MAX_PORT = 65535;

    private HostPort() {}

    /**
     * Checks the format of an address. The host is not resolved.
     *
     * @return the same address
     * @throws ConfigurationException if the host is empty or the port is not a number from 0 to 65535
     */
    public static String requireValid(String address) {
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return address;
            }
        } catch (NumberFormatException e) {
            // Falls through: every malformed address gets the same message.
        }
        throw new ConfigurationException("is no address:port: " + address);
    }

    /** Converts a {@linkplain #requireValid valid} address to a socket address; resolves the host name. */
    public static InetSocketAddress toSocketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
