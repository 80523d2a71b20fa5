package magpiehub.config;

import java.net.InetSocketAddress;

/** Network addresses as settings and endpoint lists write them: {@code host:port}. */
public final class HostPort {
    private static final int MAX_PORT = 65535;

    private HostPort() {}

    /**
     * Checks the form of an address; the host is not looked up.
     *
     * @return the same address
     * @throws ConfigurationException if the host is empty or the port is no number from 0 to 65535
     */
    public static String requireValid(String address) {
        int colon = address.lastIndexOf(':');
        try {
            int port = Integer.parseInt(address.substring(colon + 1));
            if (colon > 0 && port >= 0 && port <= MAX_PORT) {
                return address;
            }
        } catch (NumberFormatException e) {
            // Falls through: every wrong form gets the same message.
        }
        throw new ConfigurationException("is no address:port: " + address);
    }

    /** The socket address that a {@linkplain #requireValid valid} address names; resolves the host's name. */
    public static InetSocketAddress toSocketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }
}
