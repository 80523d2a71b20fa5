package magpiehub.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class UpstreamEndpointsTest {
    private final UpstreamEndpoints endpoints = new UpstreamEndpoints();

    @Test
    void anUpdateWithoutAnAddressKeepsTheKnownOne() {
        endpoints.update("a", "127.0.0.1:1", true);
        endpoints.update("a", null, false);
        assertEquals(new UpstreamEndpoint("127.0.0.1:1", false), endpoints.find("a"));
        endpoints.update("a", "127.0.0.1:2", true);
        assertEquals(new UpstreamEndpoint("127.0.0.1:2", true), endpoints.find("a"));
    }

    @Test
    void anEndpointWithoutAnAddressIsNotUsable() {
        endpoints.update("a", null, true);
        assertTrue(endpoints.acceptsRequests("a"));
        assertFalse(endpoints.find("a").isUsable());
    }

    @Test
    void anAddressBelongsToTheEndpointThatWasListedThereLast() {
        endpoints.update("a", "127.0.0.1:1", true);
        endpoints.update("b", "127.0.0.1:1", true);
        endpoints.update("a", "127.0.0.1:1", true);
        assertNull(endpoints.findUsable("a", 0));
        assertFalse(endpoints.acceptsRequests("a"));
        assertEquals(endpoints.find("b"), endpoints.findUsable("b", 0));
        endpoints.update("a", "127.0.0.1:2", true);
        assertTrue(endpoints.acceptsRequests("a"));
        endpoints.update("c", "127.0.0.1:2", true);
        endpoints.retain(Set.of("a", "b"));
        assertTrue(endpoints.acceptsRequests("a"), "the process that took the address has gone");
    }

    @Test
    void anUnknownEndpointAcceptsNoRequests() {
        assertNull(endpoints.find("a"));
        assertFalse(endpoints.acceptsRequests("a"));
    }

    @Test
    void endpointsMissingFromACompleteListAreRemoved() {
        endpoints.update("a", "127.0.0.1:1", true);
        endpoints.update("b", "127.0.0.1:2", true);
        endpoints.retain(Set.of("b", "c"));
        assertNull(endpoints.find("a"));
        assertTrue(endpoints.acceptsRequests("b"));
        endpoints.remove("b");
        assertNull(endpoints.find("b"));
    }
}
